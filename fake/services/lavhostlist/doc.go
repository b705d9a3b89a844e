// Package lavhostlist is a stand-in of the platform's host list. It can probe its hosts and delays the visibility of
// changes.
package lavhostlist
