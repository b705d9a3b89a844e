package lavsettings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// EnvironmentPrefix is the prefix of the environment variables that override settings.
const EnvironmentPrefix = "LAVENDERSWITCH_"

// Overrides holds setting values that take precedence over the file, by name. List elements are separated by commas.
type Overrides map[string]string

// ReadWithOverrides decodes the JSON file at path and applies the overrides. It fails with Faults that list every fault of
// both.
func ReadWithOverrides(path string, settings any, overrides Overrides) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return errors.Wrap(err, "read settings; name a readable file with --settings")
	}
	return DecodeWithOverrides(data, settings, overrides)
}

// DecodeWithOverrides decodes JSON settings and applies the overrides. It fails with Faults that list every fault of both.
func DecodeWithOverrides(data []byte, settings any, overrides Overrides) error {
	faults := Inspect(data, settings, "")
	merged := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &merged); err != nil || merged == nil {
		return append(faults, Fault{Path: "settings", Value: truncate(data), Remedy: "give a JSON object"})
	}
	types := overridableTypes(reflect.TypeOf(settings).Elem())
	for _, name := range sortedKeys(overrides) {
		typ, ok := types[name]
		if !ok {
			faults.AddUnless(false, name, overrides[name], "override one of "+strings.Join(sortedKeys(types), ", "))
			continue
		}
		merged[name] = encodeOverride(typ, overrides[name])
		inspect(&faults, merged[name], typ, name)
	}
	if err := faults.Err(); err != nil {
		return err
	}
	encoded, err := json.Marshal(merged)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(json.Unmarshal(encoded, settings), "decode settings; see docs/SETTINGS.md")
}

// OverridableNames returns the sorted names of the settings that can be overridden.
func OverridableNames(settings any) []string {
	return sortedKeys(overridableTypes(reflect.TypeOf(settings).Elem()))
}

// overridableTypes returns the types of the top-level settings that are single values or lists of strings, by name.
func overridableTypes(typ reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	for _, field := range reflect.VisibleFields(typ) {
		if field.IsExported() && !field.Anonymous && len(field.Index) == 1 && isOverridable(field.Type) {
			types[field.Name] = field.Type
		}
	}
	return types
}

// isOverridable reports whether a setting of the type can be written as text.
func isOverridable(typ reflect.Type) bool {
	if reflect.PointerTo(typ).Implements(unmarshalerType) {
		return true
	}
	switch typ.Kind() {
	case reflect.Slice:
		return typ.Elem().Kind() == reflect.String
	case reflect.Struct, reflect.Map, reflect.Pointer, reflect.Interface, reflect.Array:
		return false
	default:
		return true
	}
}

// encodeOverride returns the JSON form of an override. Strings and types with their own UnmarshalJSON are quoted.
func encodeOverride(typ reflect.Type, value string) json.RawMessage {
	var plain any = value
	switch {
	case typ.Kind() == reflect.Slice:
		plain = strings.Split(value, ",")
	case typ.Kind() != reflect.String && !reflect.PointerTo(typ).Implements(unmarshalerType) && json.Valid([]byte(value)):
		plain = json.RawMessage(value)
	}
	data, err := json.Marshal(plain)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return data
}

// FlagName returns the flag that overrides a setting, such as drain-timeout for DrainTimeout.
func FlagName(name string) string {
	return strings.ToLower(separateWords(name, '-'))
}

// EnvironmentName returns the variable that overrides a setting, such as LAVENDERSWITCH_HOST_ID for HostID.
func EnvironmentName(name string) string {
	return EnvironmentPrefix + strings.ToUpper(separateWords(name, '_'))
}

// separateWords inserts a separator between the words of a name. An initialism such as the ID in HostID is one word.
func separateWords(name string, separator rune) string {
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
