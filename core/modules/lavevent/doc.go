// Package lavevent splits a stream of server-sent events into complete events.
package lavevent
