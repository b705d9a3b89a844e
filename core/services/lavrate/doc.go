// Package lavrate divides the rate of requests that a backend server takes from all hosts together among the hosts, without
// messages between them.
package lavrate
