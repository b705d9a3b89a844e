// Package lavexplain collects the log lines of entry hosts that concern one request.
package lavexplain
