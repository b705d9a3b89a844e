package lavconfig

import (
	"fmt"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavsettings"
)

// ErrInvalid lists all that is wrong with a document.
type ErrInvalid struct{ Faults lavsettings.Faults }

// Error lists the faults, one a line.
func (e ErrInvalid) Error() string {
	return e.typedError().Error() + "\n" + e.Faults.Error()
}

// Unwrap returns the typed error.
func (e ErrInvalid) Unwrap() error {
	return e.typedError()
}

func (e ErrInvalid) typedError() *laverror.Error {
	message := fmt.Sprintf("the patch gives a configuration with %d faults", len(e.Faults))
	return laverror.New(laverror.KindInvalidConfig, message, "correct each fault listed; docs/CONFIGURATION.md states the rules")
}

// ErrDangerous lists what a patch takes from callers; the author has to ask for it explicitly.
type ErrDangerous struct{ Warnings lavsettings.Faults }

// Error lists the warnings, one a line.
func (e ErrDangerous) Error() string {
	return e.typedError().Error() + "\n" + e.Warnings.Error()
}

// Unwrap returns the typed error.
func (e ErrDangerous) Unwrap() error {
	return e.typedError()
}

func (e ErrDangerous) typedError() *laverror.Error {
	message := fmt.Sprintf("the patch has %d dangerous effects", len(e.Warnings))
	return laverror.New(laverror.KindInvalidConfig, message, "check each effect listed, then submit the patch again with Force")
}
