// Package lavattempt serves entry hosts. It answers attempts with streams of frames and implements the Side service.
package lavattempt
