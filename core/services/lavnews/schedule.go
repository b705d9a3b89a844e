package lavnews

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

const (
	// readerShare of the bound is the age at which a reader reads. What any reader has read reaches the others well before,
	// so that in most cases one of them reads for all.
	readerShare = 0.2
	// longestShare of the bound separates two own reads of a reader at most, whatever others tell.
	longestShare = 1.0
	// ownShare of the bound is the age at which a host reads that is no reader. The rest is for the read and for trying again.
	ownShare = 0.55
	// pollShare of the bound is how long the first reader of a data centre lets the store wait for a change, and
	// secondPollShare the same for the second one.
	pollShare       = 0.5
	secondPollShare = 1.0
	// ownPollShare is ownShare for what readers poll: news of it is as old as a poll.
	ownPollShare = 0.75
	// spreadShare of the bound is the range over which hosts spread their reads, so that they do not all read at once.
	spreadShare = 0.1
	// retryShare of the bound separates the first two tries while the store does not answer. Each further pause is twice as
	// long, up to maxRetryShare for readers and maxOwnRetryShare for other hosts, which learn of the store's return from them.
	retryShare       = 0.1
	maxRetryShare    = 0.2
	maxOwnRetryShare = 0.4
)

// Rank is the place of a host among the readers of its data centre, zero for the first one.
type Rank int

// NotReader is the rank of a host that reads only when what it knows is too old.
const NotReader Rank = -1

// Schedule decides when a host reads a part of the store that has to be known within a bound.
type Schedule struct {
	Host  lavid.HostID
	Bound time.Duration
	// Polled states that readers let the store wait for changes of the part.
	Polled bool
}

// Due returns when the host has to read next; the time has passed if a read is due. It does not apply to a reader of a polled
// part, which polls all the time.
func (s Schedule) Due(knowledge *Knowledge, rank Rank) time.Time {
	knowledge.mu.Lock()
	defer knowledge.mu.Unlock()
	retry := knowledge.attemptedAt.Add(s.retryPause(knowledge.failures, rank))
	if !knowledge.known {
		return retry
	}
	var due time.Time
	switch {
	case s.Polled:
		due = knowledge.readAt.Add(s.part(ownPollShare) + s.spread())
	case rank == NotReader:
		due = knowledge.readAt.Add(s.part(ownShare) + s.spread())
	default:
		due = knowledge.readAt.Add(s.part(readerShare) + s.spread())
		if longest := knowledge.attemptedAt.Add(s.part(longestShare)); longest.Before(due) {
			due = longest
		}
	}
	if due.Before(retry) {
		return retry
	}
	return due
}

// PollWait returns how long a reader lets the store wait for a change.
func (s Schedule) PollWait(rank Rank) time.Duration {
	if rank == 0 {
		return s.part(pollShare)
	}
	return s.part(secondPollShare)
}

func (s Schedule) retryPause(failures int, rank Rank) time.Duration {
	longest := maxRetryShare
	if rank == NotReader {
		longest = maxOwnRetryShare
	}
	return s.part(min(retryShare*math.Exp2(float64(max(failures-1, 0))), longest))
}

func (s Schedule) part(share float64) time.Duration {
	return time.Duration(share * float64(s.Bound))
}

// spread returns a part of spreadShare that is fixed for the host.
func (s Schedule) spread() time.Duration {
	position := float64(xxhash.Sum64String(string(s.Host))>>11) / (1 << 53)
	return time.Duration(position * spreadShare * float64(s.Bound))
}
