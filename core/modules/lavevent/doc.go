// Package lavevent splits a stream of server-sent events into whole events.
package lavevent
