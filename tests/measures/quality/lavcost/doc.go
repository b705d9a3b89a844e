// Package lavcost measures what requests cost at the quality target of their client accounts.
package lavcost
