// Package lavroute holds the operator's routes, services and client accounts, and finds what applies to a request.
package lavroute
