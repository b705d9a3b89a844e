package lavsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// maxShownBytes is the maximum length of an invalid value shown in a fault.
const maxShownBytes = 60

// Inspect compares JSON with the type of target and returns every unknown key and every value of a wrong type. The paths
// of the faults begin with root.
func Inspect(data []byte, target any, root string) Faults {
	var faults Faults
	if !json.Valid(data) {
		var discarded json.RawMessage
		err := json.Unmarshal(data, &discarded)
		return Faults{{Path: root + "/", Value: truncate(data), Remedy: fmt.Sprintf("write valid JSON: %v", err)}}
	}
	typ := reflect.TypeOf(target)
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	inspect(&faults, data, typ, root)
	return faults
}

// inspect adds the faults of one JSON value to faults. A null is valid for every type.
func inspect(faults *Faults, data json.RawMessage, typ reflect.Type, path string) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if reflect.PointerTo(typ).Implements(unmarshalerType) {
		inspectLeaf(faults, data, typ, path)
		return
	}
	switch typ.Kind() {
	case reflect.Struct:
		inspectStruct(faults, data, typ, path)
	case reflect.Map:
		inspectMap(faults, data, typ, path)
	case reflect.Slice:
		inspectSlice(faults, data, typ, path)
	default:
		inspectLeaf(faults, data, typ, path)
	}
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func inspectStruct(faults *Faults, data json.RawMessage, typ reflect.Type, path string) {
	members, ok := decodeObject(faults, data, path)
	if !ok {
		return
	}
	fields := make(map[string]reflect.Type)
	for _, field := range reflect.VisibleFields(typ) {
		if field.IsExported() && !field.Anonymous {
			fields[field.Name] = field.Type
		}
	}
	for _, key := range sortedKeys(members) {
		field, known := fields[key]
		if !known {
			*faults = append(*faults, Fault{Path: appendPointer(path, key), Value: truncate(members[key]), Remedy: "remove the unknown key or correct its name; known keys are " + strings.Join(sortedKeys(fields), ", ")})
			continue
		}
		inspect(faults, members[key], field, appendPointer(path, key))
	}
}

func inspectMap(faults *Faults, data json.RawMessage, typ reflect.Type, path string) {
	members, ok := decodeObject(faults, data, path)
	if !ok {
		return
	}
	for _, key := range sortedKeys(members) {
		inspect(faults, members[key], typ.Elem(), appendPointer(path, key))
	}
}

func inspectSlice(faults *Faults, data json.RawMessage, typ reflect.Type, path string) {
	if typ.Elem().Kind() == reflect.Uint8 {
		inspectLeaf(faults, data, typ, path)
		return
	}
	var elements []json.RawMessage
	if json.Unmarshal(data, &elements) != nil {
		*faults = append(*faults, Fault{Path: path, Value: truncate(data), Remedy: "give a JSON array"})
		return
	}
	for i, element := range elements {
		inspect(faults, element, typ.Elem(), appendPointer(path, fmt.Sprint(i)))
	}
}

func inspectLeaf(faults *Faults, data json.RawMessage, typ reflect.Type, path string) {
	err := json.Unmarshal(data, reflect.New(typ).Interface())
	if err == nil {
		return
	}
	*faults = append(*faults, Fault{Path: path, Value: truncate(data), Remedy: remedyFor(typ, err)})
}

// remedyFor returns how to correct a value of the wrong type.
func remedyFor(typ reflect.Type, err error) string {
	if reflect.PointerTo(typ).Implements(unmarshalerType) {
		return "correct the value: " + err.Error()
	}
	switch typ.Kind() {
	case reflect.String:
		return "give text in quotes"
	case reflect.Bool:
		return "give true or false"
	case reflect.Float32, reflect.Float64:
		return "give a number"
	default:
		return "give a whole number of the type " + typ.Kind().String()
	}
}

func decodeObject(faults *Faults, data json.RawMessage, path string) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if json.Unmarshal(data, &members) != nil {
		*faults = append(*faults, Fault{Path: path, Value: truncate(data), Remedy: "give a JSON object"})
		return nil, false
	}
	return members, true
}

func sortedKeys[Value any](members map[string]Value) []string {
	keys := make([]string, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// pointerEscape escapes a key for a JSON pointer.
var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// appendPointer appends a key to a JSON pointer. If the pointer is empty, the result has no leading slash.
func appendPointer(path, key string) string {
	escaped := pointerEscape.Replace(key)
	if path == "" {
		return escaped
	}
	return strings.TrimSuffix(path, "/") + "/" + escaped
}

// truncate returns at most maxShownBytes of a value, with an ellipsis if it is longer.
func truncate(data []byte) string {
	if len(data) > maxShownBytes {
		return string(data[:maxShownBytes]) + "…"
	}
	return string(data)
}
