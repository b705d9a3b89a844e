// Package lavcold limits the rate at which all hosts together send requests to a cold backend server. Each host computes its
// own quota, without messages between the hosts.
package lavcold
