package lavsetting

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavsettings"
)

// EnvPrefix precedes the name of each environment variable that overrides a setting.
const EnvPrefix = "LAVENDERSWITCH_"

// Overrides are settings that replace those of the file, by name.
type Overrides map[string]string

// Names returns the names of all settings, in the order of the file's reference.
func Names() []string {
	shape := reflect.TypeFor[Settings]()
	names := make([]string, 0, shape.NumField())
	for i := range shape.NumField() {
		names = append(names, shape.Field(i).Name)
	}
	return names
}

// FlagName returns the flag that overrides a setting, such as drain-timeout.
func FlagName(name string) string {
	return strings.ToLower(separated(name, '-'))
}

// EnvName returns the environment variable that overrides a setting, such as LAVENDERSWITCH_DRAIN_TIMEOUT.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(separated(name, '_'))
}

// separated puts a separator between the words of a name; HostID has two words.
func separated(name string, separator rune) string {
	var text strings.Builder
	letters := []rune(name)
	for i, letter := range letters {
		if i > 0 && unicode.IsUpper(letter) && unicode.IsLower(letters[i-1]) {
			text.WriteRune(separator)
		}
		text.WriteRune(letter)
	}
	return text.String()
}

func (o Overrides) read(path string, settings *Settings) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	if len(o) == 0 {
		return lavsettings.Decode(data, settings)
	}
	fields := map[string]json.RawMessage{}
	if err := lavsettings.Decode(data, &fields); err != nil {
		return err
	}
	for name, value := range o {
		fields[name] = encode(name, value)
	}
	merged, err := json.Marshal(fields)
	if err != nil {
		return errors.Wrap(err, "merge overrides into the settings")
	}
	return lavsettings.Decode(merged, settings)
}

// encode returns the JSON form of an override: lists are separated by commas, numbers stand as they are.
func encode(name, value string) json.RawMessage {
	field, _ := reflect.TypeFor[Settings]().FieldByName(name)
	var encoded []byte
	switch field.Type.Kind() {
	case reflect.Slice:
		encoded, _ = json.Marshal(strings.Split(value, ","))
	case reflect.Int, reflect.Int64:
		encoded = []byte(value)
	default:
		encoded, _ = json.Marshal(value)
	}
	if !json.Valid(encoded) {
		encoded, _ = json.Marshal(value)
	}
	return encoded
}
