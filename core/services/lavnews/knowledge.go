package lavnews

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

// Digest identifies the content of a part of the store.
type Digest uint64

// Edition is what a host knows of a part of the store.
type Edition struct {
	lavrevision.Revision
	Digest Digest
	// Age is the time since the read that confirmed the edition began.
	Age time.Duration
}

// News is what a host tells others of the store.
type News struct {
	// Servers and Operations are the editions of the list of backend servers and of the operators' rows; nil if unknown.
	Servers    *Edition
	Operations *Edition
	// CutoversRead states that the host has read the rows of the cutovers, which its messages hold.
	CutoversRead bool
	// Address is where the host serves the editions.
	Address string
}

// Verdict is what to do about an edition of another host.
type Verdict int

// The verdicts.
const (
	// Ignore an edition that is older than the known one.
	Ignore Verdict = iota
	// Confirm the known content, which was still the newest when the other host read it.
	Confirm
	// Fetch the content from the other host.
	Fetch
)

// Knowledge is what this host knows of a part of the store. It is safe for concurrent use.
type Knowledge struct {
	mu       sync.Mutex
	known    bool
	revision lavrevision.Revision
	digest   Digest
	// applied is the digest of what is in force, if that differs from what was read.
	applied Digest
	// readAt is when the read that confirmed the content began, on any host.
	readAt time.Time
	// source is the host that made this read; empty for this host.
	source lavid.HostID
	// attemptedAt is when this host last tried to read the store.
	attemptedAt time.Time
	// failures is the number of tries since the last read, on any host, that was taken over.
	failures int
}

// Judge returns what to do about an edition that another host tells of at now.
func (k *Knowledge) Judge(edition Edition, now time.Time) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	readAt := now.Add(-edition.Age)
	switch {
	case !k.known:
		return Fetch
	case edition.Before(k.revision) || !readAt.After(k.readAt):
		return Ignore
	case k.matches(edition.Digest):
		return Confirm
	default:
		return Fetch
	}
}

// Learn takes an edition over and reports whether it did. What another host has read, unlike an own read, never replaces a
// later revision: the store may have been replaced by another one, which only an own read shows.
func (k *Knowledge) Learn(revision lavrevision.Revision, digest Digest, readAt time.Time, source lavid.HostID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && source != "" && (revision.Before(k.revision) || !readAt.After(k.readAt)) {
		return false
	}
	k.known, k.revision, k.digest, k.applied, k.source, k.failures = true, revision, digest, digest, source, 0
	if readAt.After(k.readAt) {
		k.readAt = readAt
	}
	return true
}

// Edition returns what is known, or nil.
func (k *Knowledge) Edition(now time.Time) *Edition {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known {
		return nil
	}
	return &Edition{Revision: k.revision, Digest: k.applied, Age: now.Sub(k.readAt)}
}

// Confirms reports whether an edition that another host or the store confirms is the known one.
func (k *Knowledge) Confirms(digest Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known && k.matches(digest)
}

func (k *Knowledge) matches(digest Digest) bool { return digest == k.digest || digest == k.applied }

// Confirm takes over that what is known was still the newest at readAt, and reports whether it did.
func (k *Knowledge) Confirm(revision lavrevision.Revision, readAt time.Time, source lavid.HostID) bool {
	k.mu.Lock()
	digest, applied := k.digest, k.applied
	k.mu.Unlock()
	if !k.Learn(revision, digest, readAt, source) {
		return false
	}
	k.Apply(applied)
	return true
}

// Apply records that something else than what was learnt last is in force, as this host keeps what a copy of the store lacks.
func (k *Knowledge) Apply(digest Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applied = digest
}

// Era returns the era of what is known, or zero.
func (k *Knowledge) Era() lavrevision.Era {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision.Era
}

// Source returns the host whose read confirmed what is known; empty for this host.
func (k *Knowledge) Source() lavid.HostID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.source
}

// Attempted records that this host tries to read the store at now.
func (k *Knowledge) Attempted(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attemptedAt = now
	k.failures++
}
