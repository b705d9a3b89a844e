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
	// maxInsertAttempts bounds how often an insert without a reply is repeated before the patch is in doubt.
	maxInsertAttempts = 3
	// insertRetryInterval separates these tries.
	insertRetryInterval = 200 * time.Millisecond
	// pushesPerDataCentre is how many hosts of each other data centre are told before the answer.
	pushesPerDataCentre = 2
)

// Receipt is the answer to an accepted patch.
type Receipt struct {
	Number lavid.ConfigNumber
	Patch  lavid.PatchID
	// Reached lists the data centres in which a host has taken the number over, with this one.
	Reached []lavid.DataCentreID
	// InForce says that hosts in most data centres have it, so that no host takes new work under an older one for longer than a few seconds.
	InForce bool
}

// Submit writes a patch as the next number and tells hosts in other data centres before it returns.
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

// baseDocument returns the configuration in force here, after a read of the store when the patch names a higher number.
func (s *Spreader) baseDocument(ctx context.Context, patch Patch) (*lavconfig.Document, error) {
	if s.options.Current.Number() < patch.Base || s.options.Current.Document() == nil {
		s.readStore(ctx, time.Now())
	}
	base := s.options.Current.Document().WithTables()
	if base.Number >= patch.Base {
		return base, nil
	}
	message := fmt.Sprintf("configuration %d is not known here, the newest is %d", patch.Base, base.Number)
	return nil, laverror.New(laverror.KindConflict, message, "read the present configuration and submit the patch against it")
}

// insert repeats the same insert while the store gives no reply; the writer id makes the repeats one.
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

// resolveOutdatedBase answers a patch whose base is no longer the newest: accepted before, or a conflict.
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

// announce tells hosts in other data centres and states whether most data centres have the number.
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

// reachesMajority counts the data centres of the configuration that other hosts may still act under.
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
