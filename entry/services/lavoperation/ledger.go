package lavoperation

import (
	"context"
	"time"

	"lavenderswitch/core/services/lavledger"
)

// LedgerCalls implements Calls with the ledger.
type LedgerCalls struct {
	Ledger *lavledger.Ledger
}

// ListInDoubt returns a page of the calls whose outcome is unknown.
func (c LedgerCalls) ListInDoubt(ctx context.Context, after string, limit int) (CallPage, error) {
	page, err := c.Ledger.ListInDoubt(ctx, after, limit)
	if err != nil {
		return CallPage{}, err
	}
	calls := make([]CallInDoubt, 0, len(page.Pending))
	for _, pending := range page.Pending {
		calls = append(calls, CallInDoubt{
			Account: pending.Account,
			Request: pending.Request,
			Attempt: pending.Entry.Attempt,
			Holder:  pending.Entry.Holder,
			Server:  pending.Entry.Server,
			Claimed: time.UnixMilli(pending.Entry.ClaimedUnixMillis),
		})
	}
	return CallPage{Calls: calls, Next: page.Next}, nil
}

// Settle writes an operator's decision on a call to the ledger.
func (c LedgerCalls) Settle(ctx context.Context, settlement Settlement, now time.Time) (Settled, error) {
	position, err := c.Ledger.Settle(ctx, lavledger.Settlement{
		Account:  settlement.Account,
		Request:  settlement.Request,
		Attempt:  settlement.Attempt,
		Ran:      *settlement.Ran,
		Answer:   settlement.answer(),
		Operator: settlement.Operator,
	}, now)
	if err != nil {
		return Settled{}, err
	}
	entry := position.Entry
	return Settled{State: string(entry.State), Attempt: entry.Attempt, SettledBy: entry.SettledBy}, nil
}

// answer returns the answer for repeats of the call, or nil when it is unknown.
func (s Settlement) answer() *lavledger.Answer {
	if s.StatusCode == 0 {
		return nil
	}
	return &lavledger.Answer{StatusCode: s.StatusCode, ContentType: s.ContentType, Body: s.Body}
}
