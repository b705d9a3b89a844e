// Package lavhostlist is a stand-in for the platform's host list. It can probe its hosts, and it delays the
// visibility of changes.
package lavhostlist
