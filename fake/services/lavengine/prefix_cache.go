package lavengine

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavhttp"
)

// Kinds of cache events.
const (
	eventStored  = "Stored"
	eventRemoved = "Removed"

	// maxEvents limits the number of events that are kept for readers.
	maxEvents = 1000
)

// Event is a change of the prefix cache. Number counts all changes, including those whose event is never shown.
type Event struct {
	Number  uint64
	Kind    string
	Version lavid.VersionID
	Prefix  string
	at      time.Time
}

// eventsReply is the reply to GET /events. First is the number of its first event, or the number after the requested one
// when there is none.
type eventsReply struct {
	First  uint64
	Events []Event
}

type cacheEntry struct {
	version lavid.VersionID
	prefix  uint64
}

// prefixCache holds the most recently used prefixes and the events of its changes.
type prefixCache struct {
	// entries are in order of use, the most recent one last.
	entries    []cacheEntry
	events     []Event
	lastNumber uint64
}

func (c *prefixCache) contains(version lavid.VersionID, prefix uint64) bool {
	return slices.Contains(c.entries, cacheEntry{version: version, prefix: prefix})
}

// recordEvent numbers a change of the cache. It keeps no event for a dropped one, which leaves a gap in the numbers.
func (c *prefixCache) recordEvent(kind string, entry cacheEntry, dropped bool, now time.Time) {
	c.lastNumber++
	if dropped {
		return
	}
	event := Event{Number: c.lastNumber, Kind: kind, Version: entry.version, Prefix: fmt.Sprintf("%016x", entry.prefix), at: now}
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents:])
	}
}

// cachePrefix makes a prefix the most recently used one. A full cache evicts the least recently used prefix.
func (e *Engine) cachePrefix(version lavid.VersionID, prefix uint64, now time.Time) {
	if e.settings.Prefixes <= 0 {
		return
	}
	entry := cacheEntry{version: version, prefix: prefix}
	alreadyCached := e.cache.contains(version, prefix)
	e.cache.entries = slices.DeleteFunc(e.cache.entries, func(candidate cacheEntry) bool { return candidate == entry })
	e.cache.entries = append(e.cache.entries, entry)
	if !alreadyCached {
		e.cache.recordEvent(eventStored, entry, e.dropsEvent(), now)
	}
	if len(e.cache.entries) > e.settings.Prefixes {
		e.cache.recordEvent(eventRemoved, e.cache.entries[0], e.dropsEvent(), now)
		e.cache.entries = e.cache.entries[1:]
	}
}

// dropsEvent reports whether the next event is dropped, with probability EventGaps.
func (e *Engine) dropsEvent() bool {
	return e.random.Float64() < e.settings.EventGaps
}

func (e *Engine) events(w http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	lavhttp.WriteJSON(w, http.StatusOK, e.eventsAfter(after, time.Now()))
}

func (e *Engine) eventsAfter(after uint64, now time.Time) eventsReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := eventsReply{First: after + 1}
	for _, event := range e.cache.events {
		if event.Number > after && now.Sub(event.at) >= e.settings.EventLag {
			reply.Events = append(reply.Events, event)
		}
	}
	if len(reply.Events) > 0 {
		reply.First = reply.Events[0].Number
	}
	return reply
}
