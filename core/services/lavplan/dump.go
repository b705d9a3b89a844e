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
	ids := make([]lavid.AccountID, 0, len(s.accounts))
	for id := range s.accounts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	dump := Dump{Exposure: s.exposure}
	for _, id := range ids {
		dump.Accounts = append(dump.Accounts, s.accounts[id].dump(id))
	}
	return dump
}

func (a *accountState) dump(id lavid.AccountID) AccountDump {
	return AccountDump{
		Account:    id,
		Multiplier: a.multiplier,
		Fraction:   lavid.Share(a.fraction),
		Reachable:  a.multiplier != highestMultiplier,
		Measured:   lavid.Quality(a.measured(0)),
		Delivered:  a.delivered,
	}
}
