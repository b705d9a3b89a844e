// Package lavattempt serves entry hosts: attempts as streams of frames, and the Side service.
package lavattempt
