// Package lavnews decides which hosts read the store, and which of what other hosts have read a host takes over.
//
// In each data centre the relays of reports read. The others learn from them which edition of a part of the store is the
// newest, and how old that knowledge is; they read for themselves when it becomes too old.
package lavnews
