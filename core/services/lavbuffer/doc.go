// Package lavbuffer bounds what a host holds for callers who read slowly.
//
// A host reads on from a backend server while the caller of the stream is behind, as a server cuts off an answer that nobody
// reads. All streams together hold at most a given number of bytes. When they are used up, a stream of the account that holds
// the most has to end: the one whose caller has been behind for the longest time. Streams whose callers keep up hold nothing
// and are never ended.
package lavbuffer
