package lavplatform

import "github.com/pkg/errors"

// ErrRowNotExist reports that a table has no row with the key.
type ErrRowNotExist struct{ Table, Key string }

// Error returns the table, the key and the remedy.
func (e ErrRowNotExist) Error() string {
	return "table " + e.Table + " has no row " + e.Key + "; check the key or insert the row first"
}

// IsErrRowNotExist reports whether err is an ErrRowNotExist.
func IsErrRowNotExist(err error) bool {
	var typed ErrRowNotExist
	return errors.As(err, &typed)
}

// ErrStoreUnavailable reports that a call to the platform got no valid reply. Unless NotSent is set, a write may still take
// effect.
type ErrStoreUnavailable struct {
	Reason string
	// NotSent reports that the call failed before it was sent, so that it cannot take effect.
	NotSent bool
}

// Error returns the reason and the remedy.
func (e ErrStoreUnavailable) Error() string {
	return "platform store is unavailable: " + e.Reason + "; a write may be repeated with the same writer id to get its result"
}

// IsErrStoreUnavailable reports whether err is an ErrStoreUnavailable.
func IsErrStoreUnavailable(err error) bool {
	var typed ErrStoreUnavailable
	return errors.As(err, &typed)
}

// ErrObjectNotExist reports that the object store has no object with the name.
type ErrObjectNotExist struct{ Name string }

// Error returns the name of the object and the remedy.
func (e ErrObjectNotExist) Error() string {
	return "object " + e.Name + " does not exist; check the name or put the object first"
}

// IsErrObjectNotExist reports whether err is an ErrObjectNotExist.
func IsErrObjectNotExist(err error) bool {
	var typed ErrObjectNotExist
	return errors.As(err, &typed)
}
