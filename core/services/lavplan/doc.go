// Package lavplan decides which versions serve a request, in which order.
package lavplan
