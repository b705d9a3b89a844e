// Package lavpeer serves other entry hosts and side processes.
package lavpeer
