// Package lavcost measures what requests cost when the quality target of each client account is met.
package lavcost
