// Package lavhedge decides when to hedge a short idempotent request with a second attempt.
//
// A hedge is sent when the first attempt has taken longer than 95 percent of similar requests do, as long as hedges stay a
// small part of all requests and the servers have capacity.
package lavhedge
