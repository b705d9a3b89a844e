package lavbalance

import (
	"testing"

	"github.com/matryer/is"
)

// enginesWithCachedPrompt returns two engines, of which cached has already prefilled 13,000 tokens of the prompt. The rest of
// the prompt has 4,000 tokens.
func enginesWithCachedPrompt(cached, other Engine) []Engine {
	cached.AddedWork, other.AddedWork = 4000, 17000
	return []Engine{other, cached}
}

func TestLeastWorkPrefersTheCachedPromptUnderLoad(t *testing.T) {
	is := is.New(t)
	// Each request sent to another engine prefills the shared prompt again, which delays all later requests there.
	engines := enginesWithCachedPrompt(Engine{ID: "cached", Unread: 40000, Requests: 12}, Engine{ID: "other", Requests: 2})
	is.Equal(engines[LeastWork(engines)].ID, engines[1].ID)
}

func TestLeastWorkAvoidsAnEngineWithALongBacklog(t *testing.T) {
	is := is.New(t)
	engines := enginesWithCachedPrompt(Engine{ID: "cached", Unread: 200000}, Engine{ID: "other"})
	is.Equal(engines[LeastWork(engines)].ID, engines[0].ID)
}

func TestLeastWorkAvoidsAnEngineWithoutAFreeSlot(t *testing.T) {
	is := is.New(t)
	engines := enginesWithCachedPrompt(Engine{ID: "cached", Requests: 80, Slots: 64}, Engine{ID: "other", Requests: 10, Slots: 64})
	is.Equal(engines[LeastWork(engines)].ID, engines[0].ID)
}

func TestLeastWorkAvoidsAnEngineWithoutFreeMemory(t *testing.T) {
	is := is.New(t)
	engines := []Engine{{ID: "full", AddedWork: 4000, Memory: 520000, Capacity: 500000}, {ID: "other", AddedWork: 8000, Memory: 1000, Capacity: 500000}}
	is.Equal(engines[LeastWork(engines)].ID, engines[1].ID)
}

func TestLeastWorkAvoidsAFailingEngine(t *testing.T) {
	is := is.New(t)
	engines := []Engine{{ID: "failing", AddedWork: 1000, ExcessFailureRate: 0.4}, {ID: "other", AddedWork: 1000, Unread: 10000}}
	is.Equal(engines[LeastWork(engines)].ID, engines[1].ID)
	is.Equal(LeastWork(nil), -1)
}

func TestLeastBusyPrefersFreeSlots(t *testing.T) {
	is := is.New(t)
	servers := []PlainServer{{ID: "full", Requests: 6, Slots: 6}, {ID: "free", Requests: 4, Slots: 6, Far: true}}
	is.Equal(LeastBusy(servers, func() float64 { return 0 }), 1)
	is.Equal(LeastBusy(nil, nil), -1)
}
