package lavcmd

import (
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/entry/routers/lavoperator"
	"lavenderswitch/entry/services/lavoperation"
)

// operatorRouter returns the router of the operators' interface.
func (h *host) operatorRouter() *lavoperator.Router {
	service := &lavoperation.Service{
		Configs:   h.current,
		Submitter: h.spreader,
		Rows:      h.platform,
		Hosts:     h.members,
		Calls:     lavoperation.LedgerCalls{Ledger: lavledger.New(h.platform)},
		Servers:   func() any { return h.fleet.Dump() },
		Evidence:  func() any { return h.exposureOwner.Dump() },
	}
	router := &lavoperator.Router{Service: service, Dump: h.dump}
	for _, key := range h.settings.AllOperatorKeys() {
		router.Keys = append(router.Keys, lavoperator.Key{Name: key.Name, Hash: key.Hash})
	}
	return router
}
