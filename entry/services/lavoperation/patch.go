package lavoperation

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/core/services/lavspread"
)

// maxHistory bounds the entries of one reply.
const maxHistory = 50

// HistoryEntry is an accepted patch.
type HistoryEntry struct {
	Number     lavid.ConfigNumber
	Patch      lavid.PatchID
	Author     string
	Submitted  time.Time
	Operations any
}

// ErrConflict is returned for a patch whose base is not the current configuration. Since lists the patches accepted
// after the base, the newest first; it is empty when they could not be read.
type ErrConflict struct {
	Cause   *laverror.Error
	Current lavid.ConfigNumber
	Since   []HistoryEntry
}

// Error returns the text of the cause.
func (c ErrConflict) Error() string { return c.Cause.Error() }

// Unwrap returns the cause.
func (c ErrConflict) Unwrap() error { return c.Cause }

// Patch submits a patch. When the patch is in conflict, the error is an ErrConflict.
func (s *Service) Patch(ctx context.Context, patch lavspread.Patch) (lavspread.Receipt, error) {
	receipt, err := s.Submitter.Submit(ctx, patch)
	if !laverror.Is(err, laverror.KindConflict) {
		return receipt, err
	}
	conflict := ErrConflict{Cause: laverror.As(err), Current: s.Config().Number}
	since, historyErr := s.acceptedSince(ctx, patch.Base, conflict.Current)
	if historyErr == nil {
		conflict.Since = since
	}
	return receipt, conflict
}

func (s *Service) acceptedSince(ctx context.Context, base, current lavid.ConfigNumber) ([]HistoryEntry, error) {
	if current <= base {
		return nil, nil
	}
	return s.History(ctx, 0, min(int(current-base), maxHistory))
}

// Preview is the effect that a patch would have.
type Preview struct {
	Number   lavid.ConfigNumber
	Faults   lavsettings.Faults
	Warnings lavsettings.Faults
	Changes  []Change
}

// DryRun checks a patch without writing it.
func (s *Service) DryRun(patch lavspread.Patch) (Preview, error) {
	base := s.Config()
	if base.Number != patch.Base {
		message := fmt.Sprintf("patch is against configuration %d, the current one is %d", patch.Base, base.Number)
		cause := laverror.New(laverror.KindConflict, message, "read the current configuration and check the patch against it")
		return Preview{}, ErrConflict{Cause: cause, Current: base.Number}
	}
	preview := Preview{Number: patch.Base + 1}
	document, err := lavspread.Build(base, patch)
	var invalid lavconfig.ErrInvalid
	if errors.As(err, &invalid) {
		preview.Faults = invalid.Faults
		return preview, nil
	}
	if err != nil {
		return Preview{}, err
	}
	preview.Faults = lavconfig.Check(document)
	preview.Warnings = lavconfig.Dangers(base, document)
	preview.Changes, err = Diff(base, document)
	return preview, err
}

// History returns up to limit accepted patches with numbers below the given one, the newest first. Zero starts at the
// newest patch.
func (s *Service) History(ctx context.Context, below lavid.ConfigNumber, limit int) ([]HistoryEntry, error) {
	rows, err := lavspread.ReadHistory(ctx, s.Rows, below, min(max(limit, 1), maxHistory))
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for _, row := range rows {
		entries = append(entries, HistoryEntry{
			Number:     row.Document.Number,
			Patch:      row.PatchID,
			Author:     row.Author,
			Submitted:  time.UnixMilli(row.SubmittedUnixMillis).UTC(),
			Operations: row.Patch,
		})
	}
	return entries, nil
}

// PatchState is the outcome of a patch.
type PatchState string

// The states of a patch. An open patch may still be accepted; submitting it again gives a final state.
const (
	PatchAccepted PatchState = "Accepted"
	PatchRefused  PatchState = "Refused"
	PatchOpen     PatchState = "Open"
)

// PatchStatus is the outcome of a patch and what the operator should do.
type PatchStatus struct {
	Patch  lavid.PatchID
	State  PatchState
	Number lavid.ConfigNumber `json:",omitempty"`
	Remedy string
}

// PatchStatus looks up the outcome of a patch that was made against configuration base. A missing row leaves the patch
// open, because a write may take effect late.
func (s *Service) PatchStatus(ctx context.Context, id lavid.PatchID, base lavid.ConfigNumber) (PatchStatus, error) {
	accepted, err := lavspread.ReadAccepted(ctx, s.Rows, base+1)
	if lavplatform.IsErrRowNotExist(err) {
		remedy := fmt.Sprintf("submit the same operations under patch id %s against configuration %d again; the reply states the outcome", id, base)
		return PatchStatus{Patch: id, State: PatchOpen, Remedy: remedy}, nil
	}
	if err != nil {
		return PatchStatus{}, err
	}
	if accepted.PatchID == id {
		return PatchStatus{Patch: id, State: PatchAccepted, Number: base + 1, Remedy: "none needed"}, nil
	}
	remedy := "configuration " + strconv.FormatUint(uint64(base+1), 10) + " was made by another patch, so this one can never be accepted; submit its operations against the current configuration under a new id"
	return PatchStatus{Patch: id, State: PatchRefused, Remedy: remedy}, nil
}
