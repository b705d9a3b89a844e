package lavoperation

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Change is one value that differs between two configurations. Before or After is nil when the value was added or
// removed.
type Change struct {
	Path   string
	Before any `json:",omitempty"`
	After  any `json:",omitempty"`
}

// Diff returns the values that differ between two documents, in order of their paths.
func Diff(before, after *lavconfig.Document) ([]Change, error) {
	old, err := toJSONValue(before)
	if err != nil {
		return nil, err
	}
	changed, err := toJSONValue(after)
	if err != nil {
		return nil, err
	}
	changes := []Change{}
	appendChanges(&changes, "", old, changed)
	return changes, nil
}

// DiffNumbers returns the values that differ between the configurations of two numbers.
func (s *Service) DiffNumbers(ctx context.Context, from, to lavid.ConfigNumber) ([]Change, error) {
	before, err := s.ConfigAt(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := s.ConfigAt(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(before, after)
}

// toJSONValue returns the JSON form of a document as maps, slices and values.
func toJSONValue(document *lavconfig.Document) (any, error) {
	data, err := json.Marshal(document.WithTables())
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var value any
	return value, errors.Wrap(json.Unmarshal(data, &value), "decode configuration")
}

func appendChanges(changes *[]Change, path string, before, after any) {
	old, oldIsObject := before.(map[string]any)
	changed, changedIsObject := after.(map[string]any)
	if !oldIsObject || !changedIsObject {
		if !reflect.DeepEqual(before, after) {
			*changes = append(*changes, Change{Path: path, Before: before, After: after})
		}
		return
	}
	keys := make(map[string]bool)
	for key := range old {
		keys[key] = true
	}
	for key := range changed {
		keys[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		appendChanges(changes, path+"/"+pointerEscape.Replace(key), old[key], changed[key])
	}
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

func sortedIDs[ID cmp.Ordered, Row any](table map[ID]Row) []ID {
	return slices.Sorted(maps.Keys(table))
}
