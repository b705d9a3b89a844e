package lavsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// shownBytes bounds the part of a wrong value that a fault repeats.
const shownBytes = 60

// Inspect compares JSON with the type of target and lists every unknown key and mistyped value; paths begin with root.
func Inspect(data []byte, target any, root string) Faults {
	var faults Faults
	if !json.Valid(data) {
		var any json.RawMessage
		err := json.Unmarshal(data, &any)
		return Faults{{Path: root + "/", Value: shorten(data), Remedy: fmt.Sprintf("write valid JSON: %v", err)}}
	}
	kind := reflect.TypeOf(target)
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	inspect(&faults, data, kind, root)
	return faults
}

func inspect(faults *Faults, data json.RawMessage, kind reflect.Type, path string) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return
	}
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	if reflect.PointerTo(kind).Implements(unmarshaler) {
		inspectLeaf(faults, data, kind, path)
		return
	}
	switch kind.Kind() {
	case reflect.Struct:
		inspectStruct(faults, data, kind, path)
	case reflect.Map:
		inspectMap(faults, data, kind, path)
	case reflect.Slice:
		inspectSlice(faults, data, kind, path)
	default:
		inspectLeaf(faults, data, kind, path)
	}
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func inspectStruct(faults *Faults, data json.RawMessage, kind reflect.Type, path string) {
	members, ok := object(faults, data, path)
	if !ok {
		return
	}
	fields := make(map[string]reflect.Type)
	for _, field := range reflect.VisibleFields(kind) {
		if field.IsExported() && !field.Anonymous {
			fields[field.Name] = field.Type
		}
	}
	for _, key := range sortedKeys(members) {
		field, known := fields[key]
		if !known {
			*faults = append(*faults, Fault{Path: join(path, key), Value: shorten(members[key]), Remedy: "remove the unknown key or correct its name; known are " + strings.Join(sortedKeys(fields), ", ")})
			continue
		}
		inspect(faults, members[key], field, join(path, key))
	}
}

func inspectMap(faults *Faults, data json.RawMessage, kind reflect.Type, path string) {
	members, ok := object(faults, data, path)
	if !ok {
		return
	}
	for _, key := range sortedKeys(members) {
		inspect(faults, members[key], kind.Elem(), join(path, key))
	}
}

func inspectSlice(faults *Faults, data json.RawMessage, kind reflect.Type, path string) {
	if kind.Elem().Kind() == reflect.Uint8 {
		inspectLeaf(faults, data, kind, path)
		return
	}
	var elements []json.RawMessage
	if json.Unmarshal(data, &elements) != nil {
		*faults = append(*faults, Fault{Path: path, Value: shorten(data), Remedy: "give a JSON array"})
		return
	}
	for i, element := range elements {
		inspect(faults, element, kind.Elem(), join(path, fmt.Sprint(i)))
	}
}

func inspectLeaf(faults *Faults, data json.RawMessage, kind reflect.Type, path string) {
	err := json.Unmarshal(data, reflect.New(kind).Interface())
	if err == nil {
		return
	}
	*faults = append(*faults, Fault{Path: path, Value: shorten(data), Remedy: remedyFor(kind, err)})
}

func remedyFor(kind reflect.Type, err error) string {
	if reflect.PointerTo(kind).Implements(unmarshaler) {
		return "correct the value: " + err.Error()
	}
	switch kind.Kind() {
	case reflect.String:
		return "give text in quotes"
	case reflect.Bool:
		return "give true or false"
	case reflect.Float32, reflect.Float64:
		return "give a number"
	default:
		return "give a whole number of the type " + kind.Kind().String()
	}
}

func object(faults *Faults, data json.RawMessage, path string) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if json.Unmarshal(data, &members) != nil {
		*faults = append(*faults, Fault{Path: path, Value: shorten(data), Remedy: "give a JSON object"})
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

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// join appends a key to a path as a JSON pointer does.
func join(path, key string) string {
	escaped := pointerEscape.Replace(key)
	if path == "" {
		return escaped
	}
	return strings.TrimSuffix(path, "/") + "/" + escaped
}

func shorten(data []byte) string {
	if len(data) > shownBytes {
		return string(data[:shownBytes]) + "…"
	}
	return string(data)
}
