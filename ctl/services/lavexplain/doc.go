// Package lavexplain tells the story of one request from the logs of entry hosts.
package lavexplain
