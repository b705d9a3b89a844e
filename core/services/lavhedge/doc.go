// Package lavhedge decides when a second attempt of short idempotent work pays.
//
// A hedge is sent when the first attempt has waited longer than 95 in 100 of
// its kind do, as long as hedges stay a small part of the work and the servers
// have room.
package lavhedge
