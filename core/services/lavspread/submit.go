package lavspread

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
)

// The bounds of a submission.
const (
	// maxInsertAttempts bounds how often an insert without a reply is sent before the patch is in doubt.
	maxInsertAttempts = 3
	// insertRetryInterval separates these attempts.
	insertRetryInterval = 200 * time.Millisecond
	// pushesPerDataCentre is the number of hosts of each other data centre to which a new number is pushed before
	// Submit returns.
	pushesPerDataCentre = 2
)

// Receipt is the answer to an accepted patch.
type Receipt struct {
	Number lavid.ConfigNumber
	Patch  lavid.PatchID
	// Reached lists the data centres in which a host has adopted the number, including the data centre of this host.
	Reached []lavid.DataCentreID
	// InForce reports whether hosts in a majority of data centres have the number. The confirmations of an older number then
	// expire within a few seconds, after which no host takes new work under it.
	InForce bool
}

// Submit writes a patch as the next number and pushes it to hosts in other data centres before it returns. A repeated
// patch that was already accepted returns its receipt again.
func (s *Spreader) Submit(ctx context.Context, patch Patch) (Receipt, error) {
	base, err := s.baseDocument(ctx, patch)
	if err != nil {
		return Receipt{}, err
	}
	if base.Number > patch.Base {
		return s.resolveOutdatedBase(ctx, base, patch)
	}
	insert, err := buildInsert(base, patch, time.Now())
	if err != nil {
		return Receipt{}, err
	}
	accepted, err := s.insert(ctx, insert, patch)
	if accepted.Document.Number > 0 {
		if adoptErr := s.replica.AdoptAccepted(accepted, time.Now()); adoptErr != nil {
			return Receipt{}, adoptErr
		}
	}
	if err != nil {
		return Receipt{}, err
	}
	return s.announce(ctx, base, accepted), nil
}

// baseDocument returns the newest configuration here, after a read of the store when the patch names a higher number.
func (s *Spreader) baseDocument(ctx context.Context, patch Patch) (*lavconfig.Document, error) {
	if s.options.Current.Number() < patch.Base || s.options.Current.Document() == nil {
		s.readStore(ctx, time.Now())
	}
	base := s.options.Current.Document().WithTables()
	if base.Number >= patch.Base {
		return base, nil
	}
	message := fmt.Sprintf("this host does not have configuration %d; its newest is %d", patch.Base, base.Number)
	return nil, laverror.New(laverror.KindConflict, message, "read the current configuration and submit the patch against it")
}

// insert repeats the same insert while the store gives no reply; the equal writer id makes the repeats idempotent.
func (s *Spreader) insert(ctx context.Context, insert lavplatform.Insert, patch Patch) (Accepted, error) {
	for range maxInsertAttempts - 1 {
		accepted, err := insertRow(ctx, s.options.Rows, insert, patch)
		if !laverror.Is(err, laverror.KindInDoubt) {
			return accepted, err
		}
		lavlife.Sleep(ctx, insertRetryInterval)
	}
	return insertRow(ctx, s.options.Rows, insert, patch)
}

// resolveOutdatedBase answers a patch whose base is no longer the newest: it was accepted earlier, or it conflicts.
func (s *Spreader) resolveOutdatedBase(ctx context.Context, base *lavconfig.Document, patch Patch) (Receipt, error) {
	accepted, err := ReadAccepted(ctx, s.options.Rows, patch.Base+1)
	if lavplatform.IsErrStoreUnavailable(err) {
		return Receipt{}, inDoubtError(patch)
	}
	if err != nil {
		return Receipt{}, err
	}
	if accepted.PatchID != patch.ID {
		return Receipt{}, conflictError(patch.Base, base.Number)
	}
	if err := matchOperations(accepted, patch); err != nil {
		return Receipt{}, err
	}
	return s.announce(ctx, base, accepted), nil
}

// announce pushes an accepted number to other data centres and returns the receipt.
func (s *Spreader) announce(ctx context.Context, base *lavconfig.Document, accepted Accepted) Receipt {
	receipt := Receipt{Number: accepted.Document.Number, Patch: accepted.PatchID}
	self := s.options.Peers.Self()
	receipt.Reached = append(receipt.Reached, self.DataCentre)
	updated := s.pushToPeers(ctx, s.options.Peers.PickRemote(pushesPerDataCentre, newRandom(), time.Now()))
	for _, peer := range updated {
		if !slices.Contains(receipt.Reached, peer.DataCentre) {
			receipt.Reached = append(receipt.Reached, peer.DataCentre)
		}
	}
	receipt.InForce = reachesMajority(base, receipt.Reached)
	s.readStore(ctx, time.Now())
	return receipt
}

// reachesMajority reports whether the reached data centres are a majority of those in base, the configuration that
// other hosts may still have.
func reachesMajority(base *lavconfig.Document, reached []lavid.DataCentreID) bool {
	if len(base.DataCentres) == 0 {
		return true
	}
	count := 0
	for id := range base.DataCentres {
		if slices.Contains(reached, id) {
			count++
		}
	}
	return count >= Majority(len(base.DataCentres))
}
