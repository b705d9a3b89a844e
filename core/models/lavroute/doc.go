// Package lavroute defines the operator's routes, services and client accounts, and looks up those of a request.
package lavroute
