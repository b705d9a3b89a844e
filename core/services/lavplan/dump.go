package lavplan

import (
	"slices"

	"lavenderswitch/core/models/lavid"
)

// AccountDump is the state dump of one client account. Its field names are the keys of the dump.
type AccountDump struct {
	Account lavid.AccountID
	// Multiplier is the highest price paid for one more unit of quality, in billionths (lavid.NanoUnits).
	Multiplier float64
	// Fraction is the share of requests that take a step whose marginal cost equals the multiplier.
	Fraction lavid.Share
	// Reachable reports whether some plan reaches the target.
	Reachable bool
	// Measured is the mean expected quality of recently delivered answers; zero if there are none.
	Measured lavid.Quality
	// Delivered counts delivered answers with exponential decay.
	Delivered float64
}

// Dump is the state dump of planning.
type Dump struct {
	Accounts []AccountDump
	Exposure Exposure
}

// Dump returns the accounts in order of their ids and the exposure in force, for the state dump.
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
