package lavrevision

import "cmp"

// Era is the number of times that the store came back from a copy of itself that lacked what had been written last. It is zero while
// the store states none.
type Era uint64

// Version is the number of transactions that the store has applied. It goes back when the store comes back from a copy.
type Version float64

// Revision is a state of the store, or the state in which one of its rows was written. Later eras come after earlier ones, whatever
// their versions.
type Revision struct {
	Era     Era
	Version Version
}

// Compare returns a negative number if the revision precedes the other one, zero if both are equal, and otherwise a positive one.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Before reports whether the revision precedes the other one.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }
