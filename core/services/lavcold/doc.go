// Package lavcold keeps all hosts together within what a cold backend server bears, without talk between them.
package lavcold
