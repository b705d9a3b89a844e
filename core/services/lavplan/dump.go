package lavplan

import (
	"slices"

	"lavenderswitch/core/models/lavid"
)

// AccountDump is the part of the state dump about one client account.
type AccountDump struct {
	Account lavid.AccountID
	// Multiplier is the price, in billionths per unit of quality, that is paid for more quality.
	Multiplier float64
	// Fraction is the part of requests for which a price of exactly the multiplier is paid.
	Fraction lavid.Share
	// Reachable says whether some plan comes to the target.
	Reachable bool
	// Measured is the quality of what was delivered lately.
	Measured lavid.Quality
	// Delivered counts recent answers, older ones weighing less.
	Delivered float64
}

// Dump is the part of the state dump about planning.
type Dump struct {
	Accounts []AccountDump
	Exposure Exposure
}

// Dump returns what planning knows now, for the state dump.
func (s *State) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]lavid.AccountID, 0, len(s.balances))
	for id := range s.balances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	dump := Dump{Exposure: s.exposure}
	for _, id := range ids {
		dump.Accounts = append(dump.Accounts, s.balances[id].dump(id))
	}
	return dump
}

func (b *balance) dump(id lavid.AccountID) AccountDump {
	return AccountDump{
		Account:    id,
		Multiplier: b.multiplier,
		Fraction:   lavid.Share(b.fraction),
		Reachable:  b.multiplier != highestMultiplier,
		Measured:   lavid.Quality(b.measured(0)),
		Delivered:  b.delivered,
	}
}
