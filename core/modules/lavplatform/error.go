package lavplatform

import "github.com/pkg/errors"

// ErrRowNotExist says that a table has no row of the key.
type ErrRowNotExist struct{ Table, Key string }

// Error names the table and key.
func (e ErrRowNotExist) Error() string {
	return "table " + e.Table + " has no row " + e.Key + "; check the key or insert the row first"
}

// IsErrRowNotExist tells whether err is an ErrRowNotExist.
func IsErrRowNotExist(err error) bool {
	var typed ErrRowNotExist
	return errors.As(err, &typed)
}

// ErrStoreUnavailable says that the platform gave no reply; a write may still take effect.
type ErrStoreUnavailable struct {
	Reason string
	// NotSent says that the call was refused before it was sent, so that it cannot take effect.
	NotSent bool
}

// Error names the reason and the remedy.
func (e ErrStoreUnavailable) Error() string {
	return "platform store is unavailable: " + e.Reason + "; repeat the same write with the same writer id to settle it"
}

// IsErrStoreUnavailable tells whether err is an ErrStoreUnavailable.
func IsErrStoreUnavailable(err error) bool {
	var typed ErrStoreUnavailable
	return errors.As(err, &typed)
}

// ErrObjectNotExist says that the object store has no object of the name.
type ErrObjectNotExist struct{ Name string }

// Error names the object.
func (e ErrObjectNotExist) Error() string {
	return "object " + e.Name + " does not exist; check the name or put the object first"
}

// IsErrObjectNotExist tells whether err is an ErrObjectNotExist.
func IsErrObjectNotExist(err error) bool {
	var typed ErrObjectNotExist
	return errors.As(err, &typed)
}
