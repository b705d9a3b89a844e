package lavspread

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
)

// Patch is a JSON patch against a configuration number.
type Patch struct {
	ID     lavid.PatchID
	Author string
	// Base is the number that the author patched; zero submits the first configuration.
	Base       lavid.ConfigNumber
	Operations json.RawMessage
	// Force accepts a patch with dangerous effects.
	Force bool
}

// Build applies a patch to its base and decodes the result strictly, without checking it for faults.
func Build(base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	after, err := applyToDocument(base, patch)
	if err != nil {
		return nil, err
	}
	document, err := lavconfig.Decode(after)
	if err != nil {
		return nil, err
	}
	document.Number = patch.Base + 1
	return document, nil
}

// Rebuild applies a patch that was accepted earlier. Unlike Build it ignores fields that this release does not define.
func Rebuild(base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	after, err := applyToDocument(base, patch)
	if err != nil {
		return nil, err
	}
	document := &lavconfig.Document{}
	if err := json.Unmarshal(after, document); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	document.Number = patch.Base + 1
	return document.WithTables(), nil
}

// applyToDocument returns the JSON form of a document with a patch applied.
func applyToDocument(base *lavconfig.Document, patch Patch) ([]byte, error) {
	before, err := json.Marshal(base.WithTables())
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return applyOperations(before, patch.Operations)
}

// applyOperations applies a JSON patch; it recovers from panics, because the library panics on some malformed
// operations.
func applyOperations(before []byte, patch json.RawMessage) ([]byte, error) {
	operations, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, laverror.New(laverror.KindBadRequest, "patch is not a JSON patch: "+err.Error(), "send a JSON array of operations")
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = maxDocumentBytes
	var after []byte
	if recovered := panics.Try(func() { after, err = operations.ApplyWithOptions(before, options) }); recovered != nil {
		return nil, laverror.New(laverror.KindBadRequest, "patch has a malformed operation", "give each operation its op, path and value")
	}
	if err != nil {
		return nil, laverror.New(laverror.KindInvalidConfig, "patch does not apply: "+err.Error(), "read the configuration and correct the paths")
	}
	return after, nil
}

// BuildChecked returns the document that a patch gives. It returns lavconfig.ErrInvalid when the document has faults,
// and lavconfig.ErrDangerous when the patch has dangerous effects and does not set Force.
func BuildChecked(base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	base = base.WithTables()
	document, err := Build(base, patch)
	if err != nil {
		return nil, err
	}
	if faults := lavconfig.Check(document); len(faults) > 0 {
		return nil, lavconfig.ErrInvalid{Faults: faults}
	}
	if warnings := lavconfig.Dangers(base, document); len(warnings) > 0 && !patch.Force {
		return nil, lavconfig.ErrDangerous{Warnings: warnings}
	}
	return document, nil
}

// Submit writes the configuration that a patch gives as the next number. Of concurrent patches on the same base, one is
// accepted and the others return a conflict error. Without a reply from the store it returns an in-doubt error.
func Submit(ctx context.Context, rows Rows, base *lavconfig.Document, patch Patch) (*lavconfig.Document, error) {
	if base.Number != patch.Base {
		return nil, conflictError(patch.Base, base.Number)
	}
	insert, err := buildInsert(base, patch, time.Now())
	if err != nil {
		return nil, err
	}
	accepted, err := insertRow(ctx, rows, insert, patch)
	if err != nil {
		return nil, err
	}
	return &accepted.Document, nil
}

func buildInsert(base *lavconfig.Document, patch Patch, now time.Time) (lavplatform.Insert, error) {
	document, err := BuildChecked(base, patch)
	if err != nil {
		return lavplatform.Insert{}, err
	}
	value, err := json.Marshal(Accepted{
		PatchID:             patch.ID,
		Author:              patch.Author,
		SubmittedUnixMillis: now.UnixMilli(),
		Patch:               patch.Operations,
		Document:            *document,
	})
	if err != nil {
		return lavplatform.Insert{}, errors.Wrap(err, "encode configuration")
	}
	return lavplatform.Insert{Table: ConfigTable, Key: Key(document.Number), Writer: string(patch.ID), Value: value}, nil
}

// insertRow writes the row of a patch. When the reply is lost, the patch is in doubt until the same insert is answered.
func insertRow(ctx context.Context, rows Rows, insert lavplatform.Insert, patch Patch) (Accepted, error) {
	written, err := rows.Insert(ctx, insert)
	if lavplatform.IsErrStoreUnavailable(err) {
		return Accepted{}, inDoubtError(patch)
	}
	if err != nil {
		return Accepted{}, err
	}
	accepted, err := decodeRow(written.Row)
	if err != nil {
		return Accepted{}, err
	}
	if !written.Won {
		return accepted, conflictError(patch.Base, accepted.Document.Number)
	}
	return accepted, matchOperations(accepted, patch)
}

// matchOperations returns an error when a patch id was already used for other operations.
func matchOperations(accepted Accepted, patch Patch) error {
	var stored, sent bytes.Buffer
	if json.Compact(&stored, accepted.Patch) == nil && json.Compact(&sent, patch.Operations) == nil && bytes.Equal(stored.Bytes(), sent.Bytes()) {
		return nil
	}
	message := fmt.Sprintf("patch id %s was already used for other operations, accepted as configuration %d", patch.ID, accepted.Document.Number)
	return laverror.New(laverror.KindRequestMismatch, message, "submit these operations with a new patch id")
}

func inDoubtError(patch Patch) error {
	message := fmt.Sprintf("the store gave no reply, so patch %s may or may not have been accepted", patch.ID)
	remedy := fmt.Sprintf("submit the same operations with patch id %s against configuration %d again; repeats are never applied twice", patch.ID, patch.Base)
	return laverror.New(laverror.KindInDoubt, message, remedy).WithRun(laverror.InDoubt)
}

func conflictError(base, current lavid.ConfigNumber) error {
	message := fmt.Sprintf("patch is against configuration %d, the current one is %d", base, current)
	return laverror.New(laverror.KindConflict, message, "read the current configuration and submit the patch against it")
}
