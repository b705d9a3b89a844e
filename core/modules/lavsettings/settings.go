package lavsettings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a length of time written in JSON as text such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON reads the text form and fails on any other.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration %s is not text such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q is not of a form such as \"250ms\"", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// Fault is one thing wrong with the settings.
type Fault struct {
	Path   string
	Value  string
	Remedy string
}

// Faults lists all that is wrong with the settings.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("%s = %s: %s", fault.Path, fault.Value, fault.Remedy))
	}
	return strings.Join(lines, "\n")
}

// AddUnless appends a fault unless ok holds.
func (f *Faults) AddUnless(ok bool, path string, value any, remedy string) {
	if ok {
		return
	}
	*f = append(*f, Fault{Path: path, Value: fmt.Sprintf("%v", value), Remedy: remedy})
}

// Err returns the faults as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Read decodes the JSON file at path into settings and refuses unknown keys.
func Read(path string, settings any) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	return Decode(data, settings)
}

// Decode decodes JSON settings and lists every unknown key and mistyped value as Faults.
func Decode(data []byte, settings any) error {
	if err := Inspect(data, settings, "").Err(); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, settings), "decode settings; see docs/SETTINGS.md")
}
