// Package lavattempt serves the requests of entry hosts: it answers attempts with streams of frames, and it
// implements the Side service.
package lavattempt
