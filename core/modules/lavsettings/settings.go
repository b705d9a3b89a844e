package lavsettings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written in JSON as a string such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON parses the string form. It fails for any other JSON value.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration %s is not a string such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q is not a valid duration such as \"250ms\"", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalJSON returns the string form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// Fault is one invalid value of the settings or the configuration: its path, the value and how to correct it.
type Fault struct {
	Path   string
	Value  string
	Remedy string
}

// Faults lists all invalid values that were found.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("%s = %s: %s", fault.Path, fault.Value, fault.Remedy))
	}
	return strings.Join(lines, "\n")
}

// AddUnless appends a fault unless ok is true.
func (f *Faults) AddUnless(ok bool, path string, value any, remedy string) {
	if ok {
		return
	}
	*f = append(*f, Fault{Path: path, Value: fmt.Sprintf("%v", value), Remedy: remedy})
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Read decodes the JSON file at path into settings. It fails with Faults that list every unknown key and every value of a
// wrong type.
func Read(path string, settings any) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	return Decode(data, settings)
}

// Decode decodes JSON settings. It fails with Faults that list every unknown key and every value of a wrong type.
func Decode(data []byte, settings any) error {
	if err := Inspect(data, settings, "").Err(); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, settings), "decode settings; see docs/SETTINGS.md")
}
