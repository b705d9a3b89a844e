package lavforward

import (
	"fmt"
	"testing"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
)

// BenchmarkChooseEngine measures the choice of an engine for one send, of a long prompt with a shared prefix.
func BenchmarkChooseEngine(b *testing.B) {
	for _, count := range []int{45, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newFixture(0)
			servers := make([]lavserver.Server, 0, count)
			for i := range count {
				servers = append(servers, lavserver.Server{
					ID: lavid.BackendServerID(fmt.Sprint("server-", i)), Service: service, Address: fmt.Sprint("10.0.0.1:", i), DataCentre: "centre-a", Release: "v1", Slots: 64,
				})
			}
			now := time.Now()
			f.directory.ApplyListing(servers, now)
			request := newRequest(lavroute.Streaming)
			request.Service.Engine = &lavroute.Engine{Slots: 64, Capacity: 500_000, EventTokens: 4}
			request.Prompt = Prompt{Input: 17_000, Parts: []Part{{ID: "shared", Tokens: 13_000}, {ID: "own", Tokens: 4_000}}}
			e := &execution{Forwarder: f.Forwarder, request: request, excluded: make(map[lavid.BackendServerID]bool)}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := e.choose(large, now); !ok {
					b.Fatal("no engine")
				}
			}
		})
	}
}
