package lavwatch

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavnews"
)

// News returns what this host knows of the store, for other hosts. The address is where it serves the editions.
func (w *Watcher) News(address string, cutoversRead bool, now time.Time) *lavnews.News {
	return &lavnews.News{
		Servers:      w.servers.Edition(now),
		Operations:   w.operations.Edition(now),
		CutoversRead: cutoversRead,
		Address:      address,
	}
}

// Hear takes over what another host knows of the store, if that is newer. It fetches content that has changed in the
// background.
func (w *Watcher) Hear(ctx context.Context, news *lavnews.News, from lavid.HostID, now time.Time) {
	w.hearPart(ctx, PartServers, &w.servers, news.Servers, news.Address, from, now)
	w.hearPart(ctx, PartOperations, &w.operations, news.Operations, news.Address, from, now)
}

func (w *Watcher) hearPart(ctx context.Context, name Part, part *knownPart, edition *lavnews.Edition, address string, from lavid.HostID, now time.Time) {
	if edition == nil {
		return
	}
	switch part.Judge(*edition, now) {
	case lavnews.Ignore:
		if name == PartOperations && edition.Era == w.Era() && w.knowsStoreOnly() {
			w.startFetch(part, func() { w.fetchHeld(ctx, address, from) })
		}
	case lavnews.Confirm:
		readAt := now.Add(-edition.Age)
		if name == PartServers {
			w.confirmServers(*edition, readAt, from)
			return
		}
		w.confirmOperations(*edition, readAt, from)
	case lavnews.Fetch:
		w.startFetch(part, func() { w.fetch(ctx, name, address, from) })
	}
}

// startFetch runs a fetch of a part in the background, unless one is running or the watcher has ended.
func (w *Watcher) startFetch(part *knownPart, fetch func()) {
	if w.Fetcher == nil || !part.beginFetch() {
		return
	}
	w.fetchMutex.Lock()
	defer w.fetchMutex.Unlock()
	if w.ended {
		return
	}
	w.fetches.Go(func() {
		defer part.endFetch()
		fetch()
	})
}

// beginFetch reports whether a fetch may start; there is one at a time.
func (p *knownPart) beginFetch() bool {
	p.applying.Lock()
	defer p.applying.Unlock()
	if p.fetching {
		return false
	}
	p.fetching = true
	return true
}

func (p *knownPart) endFetch() {
	p.applying.Lock()
	defer p.applying.Unlock()
	p.fetching = false
}

// fetch fetches a part of the store from another host and applies it.
func (w *Watcher) fetch(ctx context.Context, part Part, address string, from lavid.HostID) {
	snapshot, age, err := w.Fetcher.Fetch(ctx, address, part)
	if err != nil {
		w.Log.WithError(err).WithField(lavlog.FieldPeer, from).Debug("fetching a snapshot failed")
		return
	}
	readAt := w.Clock().Add(-age)
	if part == PartServers {
		w.applyServers(snapshot, readAt, from)
		return
	}
	w.applyOperations(snapshot, readAt, from)
}

// fetchHeld fetches the operators' rows from another host, whose read is not later than this host's, and takes over what it holds.
func (w *Watcher) fetchHeld(ctx context.Context, address string, from lavid.HostID) {
	snapshot, _, err := w.Fetcher.Fetch(ctx, address, PartOperations)
	if err != nil {
		w.Log.WithError(err).WithField(lavlog.FieldPeer, from).Debug("fetching a snapshot failed")
		return
	}
	w.adoptOperations(snapshot, from)
}

// Snapshot returns what this host knows of a part of the store and its age, or false if it knows nothing.
func (w *Watcher) Snapshot(name Part, now time.Time) (Snapshot, time.Duration, bool) {
	part := &w.servers
	switch name {
	case PartServers:
	case PartOperations:
		part = &w.operations
	default:
		return Snapshot{}, 0, false
	}
	part.applying.Lock()
	defer part.applying.Unlock()
	edition := part.Edition(now)
	if edition == nil {
		return Snapshot{}, 0, false
	}
	snapshot := part.snapshot
	snapshot.Revision = edition.Revision
	return snapshot, edition.Age, true
}
