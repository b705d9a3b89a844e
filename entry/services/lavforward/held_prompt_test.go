package lavforward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
)

// TestFewOfManyHoldersAreLookedAt answers the pattern of a short beginning that most prompts have, in a fleet of hundreds of engines: a
// choice does not look at all that hold it, but at those that hold more.
func TestFewOfManyHoldersAreLookedAt(t *testing.T) {
	is := is.New(t)
	held := heldPrompt{parts: make(map[lavserver.InstanceKey]int), tokens: []lavid.Tokens{0, 2500, 6300, 9200}}
	is.Equal(held.leastParts(), 1)
	for i := range maxHoldersLooked {
		held.parts[lavserver.InstanceKey(i)] = 1
	}
	is.Equal(held.leastParts(), 1)
	for i := range 3 {
		held.parts[lavserver.InstanceKey(1000+i)] = 2
	}
	is.Equal(held.leastParts(), 2)
	for i := range 2 * maxHoldersLooked {
		held.parts[lavserver.InstanceKey(2000+i)] = 3
	}
	is.Equal(held.leastParts(), 3) // however many hold all of it
}

// TestRequestGoesWhereAnotherHostHasSentItsPrompt guards against a prompt that is read again although another host has told which engine
// holds its beginning; nothing is told of a read before the engine answers.
func TestRequestGoesWhereAnotherHostHasSentItsPrompt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other, f := newFixture(20, replyWith(200, "id: 1\ndata: a\n\n")), newFixture(20, replyWith(200, "id: 1\ndata: a\n\n"))
	request := func() *Request {
		r := newCascadeRequest()
		r.Model = large
		r.Prompt = Prompt{Parts: []Part{{ID: "shared", Tokens: 13_000}, {ID: "own", Tokens: 2000}}, Input: 15_000}
		return r
	}
	is.Equal(len(other.Holdings.Reports(false, now)), 0)
	other.serve(request())
	reports := other.Holdings.Reports(false, time.Now())
	is.Equal(len(reports), 1) // the shared part, not the request's own
	f.Holdings.Apply(reports, now)
	f.serve(request())
	is.Equal(f.sends[0].Server.ID, other.sends[0].Server.ID)
}
