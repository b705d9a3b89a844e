// Package lavcold limits the requests to a cold backend server to its rate over all hosts, without messages between them.
package lavcold
