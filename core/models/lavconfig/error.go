package lavconfig

import (
	"fmt"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavsettings"
)

// ErrInvalid lists every fault of a document.
type ErrInvalid struct{ Faults lavsettings.Faults }

// Error returns a summary followed by one line for each fault.
func (e ErrInvalid) Error() string {
	return e.typedError().Error() + "\n" + e.Faults.Error()
}

// Unwrap returns the error as a *laverror.Error of kind invalid_config.
func (e ErrInvalid) Unwrap() error {
	return e.typedError()
}

func (e ErrInvalid) typedError() *laverror.Error {
	message := fmt.Sprintf("the patch gives a configuration with %d faults", len(e.Faults))
	return laverror.New(laverror.KindInvalidConfig, message, "correct each fault listed; docs/CONFIGURATION.md states the rules")
}

// ErrDangerous lists the dangerous effects of a patch. The author must submit the patch with Force to accept them.
type ErrDangerous struct{ Warnings lavsettings.Faults }

// Error returns a summary followed by one line for each warning.
func (e ErrDangerous) Error() string {
	return e.typedError().Error() + "\n" + e.Warnings.Error()
}

// Unwrap returns the error as a *laverror.Error of kind invalid_config.
func (e ErrDangerous) Unwrap() error {
	return e.typedError()
}

func (e ErrDangerous) typedError() *laverror.Error {
	message := fmt.Sprintf("the patch has %d dangerous effects", len(e.Warnings))
	return laverror.New(laverror.KindInvalidConfig, message, "check each effect listed, then submit the patch again with Force")
}
