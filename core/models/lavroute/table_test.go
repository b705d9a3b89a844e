package lavroute

import (
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

// TestRouteWithLongestPrefixIsChosen guards against serving a request by a route with a shorter prefix, by a prefix
// that ends within a path segment, or by a route of another host name.
func TestRouteWithLongestPrefixIsChosen(t *testing.T) {
	is := is.New(t)
	short := &Route{Name: "short", HostName: "a.example", Prefix: "/x/"}
	long := &Route{Name: "long", HostName: "a.example", Prefix: "/x/y/"}
	other := &Route{Name: "other", HostName: "b.example", Prefix: "/"}
	table := NewTable(1, []*Route{short, long, other}, nil, nil, Limits{}, false)
	for _, want := range []struct{ host, path, name string }{
		{"a.example", "/x/z", "short"},
		{"A.example:80", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/xx/", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		route, ok := table.Route(want.host, want.path)
		is.Equal(ok, want.name != "")
		if ok {
			is.Equal(route.Name, want.name)
		}
	}
}

// TestKeyIsRequiredUnlessRouteIsPublic guards against serving a request without a key on a route that is not public.
func TestKeyIsRequiredUnlessRouteIsPublic(t *testing.T) {
	is := is.New(t)
	table := NewTable(1, nil, nil, map[string]*Account{"key": {ID: "account"}}, Limits{}, true)
	is.True(table.NeedsKey(&Route{}))
	is.True(!table.NeedsKey(&Route{Public: true}))
	_, found := table.Account("")
	is.True(!found)
	is.True(!NewTable(1, nil, nil, nil, Limits{}, false).NeedsKey(&Route{}))
}

// TestPickServiceFollowsWeights guards against a split that ignores the weights, and against a panic on a route
// without splits.
func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := &Route{Splits: []Split{{"a", 90}, {"b", 10}}}
	is.Equal(string(route.PickService(0)), "a")
	is.Equal(string(route.PickService(0.89)), "a")
	is.Equal(string(route.PickService(0.91)), "b")
	is.Equal(string((&Route{}).PickService(0.5)), "")
}

// TestOnlyResumableStreamsAndIdempotentRequestsMayBeRepeated guards against a second run of a request that may run at
// most once.
func TestOnlyResumableStreamsAndIdempotentRequestsMayBeRepeated(t *testing.T) {
	is := is.New(t)
	is.True(!(&Route{}).Repeatable())
	is.True(!(&Route{Kind: Streaming}).Repeatable())
	is.True((&Route{Kind: Streaming, Resumable: true}).Repeatable())
	is.True((&Route{Kind: Idempotent}).Repeatable())
}

// TestRegionMustBeAllowedByRouteAndAccount guards against sending a request to a region that its route or its client
// account does not allow.
func TestRegionMustBeAllowedByRouteAndAccount(t *testing.T) {
	is := is.New(t)
	route, account := &Route{Regions: []lavid.Region{"a", "b"}}, &Account{Regions: []lavid.Region{"b", "c"}}
	is.True(route.MayReach(nil, "a"))
	is.True(!route.MayReach(account, "a"))
	is.True(route.MayReach(account, "b"))
	is.True(!route.MayReach(account, "c"))
	is.True((&Route{}).MayReach(&Account{}, "d"))
}
