package lavcutover

import "lavenderswitch/core/models/lavid"

// maxPast bounds the earlier cutovers that are kept. Their servers have ended by the time that as many more have been ordered.
const maxPast = 8

// Past holds the releases of the cutovers before the current one, the newest first. Entries without a release are unused.
type Past [maxPast]PastRelease

// PastRelease is the release of an earlier cutover and the state in which the next order found it. A cutover that had not ended counts
// as Running.
type PastRelease struct {
	Release lavid.ReleaseID
	State   State
}

// state returns the state of a release, or an empty one if no earlier cutover was to it.
func (p Past) state(release lavid.ReleaseID) State {
	for _, each := range p {
		if each.Release == release && release != "" {
			return each.State
		}
	}
	return ""
}

// base returns the release to which the latest complete cutover moved the service, or an empty ID if none is known.
func (p Past) base() lavid.ReleaseID {
	for _, each := range p {
		if each.State == Complete {
			return each.Release
		}
	}
	return ""
}

// without returns the past without a release.
func (p Past) without(release lavid.ReleaseID) Past {
	var kept Past
	count := 0
	for _, each := range p {
		if each.Release != release && each.Release != "" {
			kept[count] = each
			count++
		}
	}
	return kept
}

// with returns the past with the newest cutover.
func (p Past) with(release lavid.ReleaseID, state State) Past {
	rest := p.without(release)
	next := Past{{release, state}}
	copy(next[1:], rest[:])
	return next
}

// Union returns the past with the releases of another one as far as there is room. Of a release in both, the higher state counts.
func (p Past) Union(other Past) Past {
	for _, each := range other {
		if each.Release == "" {
			continue
		}
		for i := range p {
			if p[i].Release == each.Release || p[i].Release == "" {
				if p[i].Release == "" || each.State.rank() > p[i].State.rank() {
					p[i] = each
				}
				break
			}
		}
	}
	return p
}

// past returns the past of the cutover to the next release, which follows this one.
func (r *cutover) past(next lavid.ReleaseID) Past {
	past := r.progress.Past
	if r.progress.To == "" {
		return past
	}
	state := r.progress.State
	switch {
	case r.stopped:
		state = Stopped
	case state == "":
		state = Running
	}
	return past.with(r.progress.To, state).without(next)
}

// limit returns the preference of an older release for a session that runs on another one, or on none if that is empty:
//   - a release that was stopped takes nothing, whatever is ordered next;
//   - a release whose cutover had not ended keeps its sessions, and takes no others;
//   - releases from before the latest complete cutover may end without notice.
func (p Past) limit(release, current lavid.ReleaseID, older Preference) Preference {
	unfinished := p.state(current) == Running
	base := p.base()
	switch {
	case p.state(release) == Stopped, p.state(release) == Running && release != current:
		return Never
	case unfinished && release != current, base != "" && release != base && release != current:
		return min(older, Fallback)
	default:
		return older
	}
}

// comparable reports whether answers of a release tell how a good release answers.
func (p Past) comparable(release lavid.ReleaseID) bool {
	state := p.state(release)
	return state != Stopped && state != Running
}
