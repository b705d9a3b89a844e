package lavspread

import (
	"context"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
)

// Patch is a JSON patch against a configuration number.
type Patch struct {
	ID     lavid.PatchID
	Author string
	// Base is the number that the author saw; zero submits the first configuration.
	Base       lavid.ConfigNumber
	Operations json.RawMessage
}

// Build returns the document that a patch gives on its base.
func Build(base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	before, err := json.Marshal(base)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	operations, err := jsonpatch.DecodePatch(patch.Operations)
	if err != nil {
		return nil, laverror.New(laverror.KindBadRequest, "patch is not a JSON patch: "+err.Error(), "send a JSON array of operations")
	}
	after, err := operations.Apply(before)
	if err != nil {
		return nil, laverror.New(laverror.KindInvalidConfig, "patch does not apply: "+err.Error(), "read the configuration and correct the paths")
	}
	document := &lavconfig.Document{}
	if err := json.Unmarshal(after, document); err != nil {
		return nil, laverror.New(laverror.KindInvalidConfig, "patched configuration is not valid: "+err.Error(), "correct the values")
	}
	document.Number = patch.Base + 1
	return document, nil
}

// Submit writes the configuration that a patch gives as the next number; of two racing patches one wins.
func Submit(ctx context.Context, rows Rows, base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	if base.Number != patch.Base {
		return nil, conflict(patch.Base, base.Number)
	}
	document, err := Build(base, patch)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(Accepted{PatchID: patch.ID, Author: patch.Author, Patch: patch.Operations, Document: *document})
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	insert := lavplatform.Insert{Table: ConfigTable, Key: Key(document.Number), Writer: string(patch.ID), Value: value}
	written, err := rows.Insert(ctx, insert)
	if lavplatform.IsErrStoreUnavailable(err) {
		remedy := fmt.Sprintf("submit patch %s again against configuration %d", patch.ID, patch.Base)
		return nil, laverror.New(laverror.KindInDoubt, "the store gave no reply", remedy).WithRun(laverror.InDoubt)
	}
	if err != nil {
		return nil, err
	}
	if !written.Won {
		return nil, conflict(patch.Base, document.Number)
	}
	return document, nil
}

func conflict(base, current lavid.ConfigNumber) error {
	message := fmt.Sprintf("patch is against configuration %d, the present one is %d", base, current)
	return laverror.New(laverror.KindConflict, message, "read the present configuration and submit the patch against it")
}
