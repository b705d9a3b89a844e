package lavreport

import (
	"time"

	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
)

const (
	// reportLifetime is how long a report counts at a relay: a host may miss two in a row.
	reportLifetime = 700 * time.Millisecond
	// exchangeLifetime and totalLifetime are how old the oldest report in a sum may be at the relays of other data centres and
	// at hosts. Each step adds the time between two messages, and one that may be lost.
	exchangeLifetime = 1100 * time.Millisecond
	totalLifetime    = 1500 * time.Millisecond
)

// oldest returns the age of the oldest report in the sum.
func (s Sum) oldest() time.Duration {
	age := time.Duration(0)
	for _, entry := range s.Entries {
		age = max(age, entry.Age)
	}
	return age
}

// meanAge returns the mean age of the reports in the sum.
func (s Sum) meanAge() time.Duration {
	age := time.Duration(0)
	for _, entry := range s.Entries {
		age += entry.Age
	}
	return age / time.Duration(max(len(s.Entries), 1))
}

// add adds another sum; the hosts of both must be different ones.
func (s *Sum) add(other Sum) {
	s.Entries = append(s.Entries, other.Entries...)
	for server, load := range other.Loads {
		s.addLoad(server, load)
	}
	s.addSpeeds(other.Speeds)
}

func (s *Sum) addSpeeds(speeds map[lavload.ServerKey]lavforecast.Speed) {
	if s.Speeds == nil {
		s.Speeds = make(map[lavload.ServerKey]lavforecast.Speed)
	}
	for server, speed := range speeds {
		s.Speeds[server] = s.Speeds[server].Plus(speed)
	}
}

// aged returns the sum with reports that are older by held.
func (s Sum) aged(held time.Duration) Sum {
	entries := make([]Entry, len(s.Entries))
	for i, entry := range s.Entries {
		entry.Age += held
		entries[i] = entry
	}
	s.Entries = entries
	return s
}

func (s *Sum) addLoad(server lavload.ServerKey, load lavload.Load) {
	if s.Loads == nil {
		s.Loads = make(map[lavload.ServerKey]lavload.Load)
	}
	s.Loads[server] = s.Loads[server].Plus(load)
}

// heldSum is a received sum.
type heldSum struct {
	Sum
	receivedAt time.Time
}

// validUntil returns when the oldest report in the sum reaches the given age.
func (h heldSum) validUntil(lifetime time.Duration) time.Time {
	return h.receivedAt.Add(lifetime - h.oldest())
}

// replacedBy reports whether a sum that arrives at now replaces this one, which is kept while it is valid and the other is
// older, holds the same reports, or holds under half of its hosts. Another relay may know fewer hosts, and a relay that was suspended
// sends old ones. The same reports seem younger in the other sum by the time for which it was on its way, so that a sum which two relays
// hand to each other would not age.
func (h heldSum) replacedBy(sum Sum, lifetime time.Duration, now time.Time) bool {
	if !now.Before(h.validUntil(lifetime)) {
		return true
	}
	if 2*len(sum.Entries) < len(h.Entries) {
		return false
	}
	held := make(map[HostKey]Sequence, len(h.Entries))
	for _, entry := range h.Entries {
		held[entry.Host] = entry.Sequence
	}
	newer, older := 0, 0
	for _, entry := range sum.Entries {
		sequence, found := held[entry.Host]
		switch {
		case !found || entry.Sequence.after(sequence):
			newer++
		case sequence.after(entry.Sequence):
			older++
		}
	}
	return newer > 0 && newer >= older
}

// cutoverCounts holds the counts of other hosts about cutovers. Counts only grow during a cutover, so that the largest sum
// that was ever received is the most complete one, also when a relay that knew more hosts has gone.
type cutoverCounts map[lavcutover.Key]lavcutover.Counts

// mergeStatuses merges two lists of statuses: the newest row of each service, the sums of the counts about its
// release, and the sessions that any of them names.
func mergeStatuses(into, other []lavcutover.Status) []lavcutover.Status {
	merged := append([]lavcutover.Status(nil), into...)
	for _, status := range other {
		position := -1
		for i := range merged {
			if merged[i].Progress.Service == status.Progress.Service {
				position = i
			}
		}
		if position < 0 {
			merged = append(merged, status)
			continue
		}
		newest, counts, earlier := merged[position], merged[position].Counts, merged[position].Earlier
		switch {
		case newest.Progress.To == status.Progress.To:
			counts = sumCounts(counts, status.Counts)
			earlier = earlier.Union(status.Earlier)
			newest.Progress.Past = newest.Progress.Past.Union(status.Progress.Past)
			status.Progress.Past = newest.Progress.Past
		case status.Supersedes(newest):
			counts, earlier = status.Counts, status.Earlier
		}
		if status.Supersedes(newest) {
			newest = status
		}
		newest.Counts, newest.Earlier = counts, earlier
		merged[position] = newest
	}
	return merged
}

// sumCounts returns the sums of two sets of counts.
func sumCounts(a, b map[lavcutover.Key]lavcutover.Counts) map[lavcutover.Key]lavcutover.Counts {
	sums := make(map[lavcutover.Key]lavcutover.Counts, len(a))
	for key, counts := range a {
		sums[key] = counts
	}
	for key, counts := range b {
		sums[key] = sums[key].Plus(counts)
	}
	return sums
}

// keepLargest replaces each sample by the one with more trials.
func (c cutoverCounts) keepLargest(other map[lavcutover.Key]lavcutover.Counts) {
	for key, counts := range other {
		c[key] = c[key].Largest(counts)
	}
}
