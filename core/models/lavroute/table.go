package lavroute

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"lavenderswitch/core/models/lavid"
)

// Table is one complete configuration. It is immutable.
type Table struct {
	Number   lavid.ConfigNumber
	Services map[lavid.ServiceID]*Service
	Limits   Limits

	routes       map[string][]*Route
	accounts     map[string]*Account
	keysRequired bool
}

// NewTable returns a table of routes, services and accounts; the accounts are indexed by API key. If keysRequired is
// set, requests to routes that are not public need a key.
func NewTable(number lavid.ConfigNumber, routes []*Route, services []*Service, accounts map[string]*Account, limits Limits, keysRequired bool) *Table {
	table := &Table{
		Number:       number,
		Services:     make(map[lavid.ServiceID]*Service, len(services)),
		Limits:       limits,
		routes:       make(map[string][]*Route),
		accounts:     accounts,
		keysRequired: keysRequired,
	}
	for _, service := range services {
		table.Services[service.ID] = service
	}
	for _, route := range routes {
		name := strings.ToLower(route.HostName)
		table.routes[name] = append(table.routes[name], route)
	}
	for _, group := range table.routes {
		slices.SortStableFunc(group, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// Route returns the route of the host name with the longest matching path prefix, and whether there is one.
func (t *Table) Route(hostName, path string) (*Route, bool) {
	name := strings.ToLower(hostName)
	if host, _, err := net.SplitHostPort(name); err == nil {
		name = host
	}
	for _, route := range t.routes[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account with the API key, and whether there is one.
func (t *Table) Account(key string) (*Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(route *Route) bool {
	return t.keysRequired && !route.Public
}

// PickService returns a service of the route at random by weight, for a random draw in [0, 1). It returns an empty
// identifier if the route has no splits.
func (r *Route) PickService(draw float64) lavid.ServiceID {
	totalWeight := 0.0
	for _, split := range r.Splits {
		totalWeight += split.Weight
	}
	remaining := draw * totalWeight
	for _, split := range r.Splits {
		remaining -= split.Weight
		if remaining < 0 {
			return split.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
