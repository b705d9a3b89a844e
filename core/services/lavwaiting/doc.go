// Package lavwaiting orders the requests that wait at a host until an engine can serve them in time, and refuses those that
// would not get their turn.
package lavwaiting
