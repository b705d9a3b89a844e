package lavplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

func fleet(servers, versions, memory int) (*lavconfig.Document, []lavid.BackendServerID) {
	document := &lavconfig.Document{
		Number:         1,
		Versions:       map[lavid.VersionID]lavconfig.Version{},
		DataCentres:    map[lavid.DataCentreID]lavconfig.DataCentre{},
		BackendServers: map[lavid.BackendServerID]lavconfig.BackendServer{},
	}
	for i := range 3 {
		document.DataCentres[lavid.DataCentreID(fmt.Sprint("dc-", i))] = lavconfig.DataCentre{State: lavconfig.InService}
	}
	var live []lavid.BackendServerID
	for i := range servers {
		id := lavid.BackendServerID(fmt.Sprintf("server-%03d", i))
		live = append(live, id)
		document.BackendServers[id] = lavconfig.BackendServer{
			DataCentre:     lavid.DataCentreID(fmt.Sprint("dc-", i%3)),
			State:          lavconfig.InService,
			MemoryVersions: memory,
		}
	}
	for i := range versions {
		document.Versions[lavid.VersionID(fmt.Sprint("v-", i))] = lavconfig.Version{State: lavconfig.VersionServing}
	}
	return document, live
}

func serversHolding(assignments []Assignment, version lavid.VersionID) []lavid.BackendServerID {
	var holders []lavid.BackendServerID
	for _, assignment := range assignments {
		if slices.Contains(assignment.Versions, version) {
			holders = append(holders, assignment.Server)
		}
	}
	return holders
}

func TestEveryVersionIsAssignedInTwoDataCentresWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.IntRange(1, 15).Draw(t, "versions")
		memory := rapid.IntRange(1, 4).Draw(t, "memory")
		minServers := (versions*MinServers)/memory + 6
		document, live := fleet(rapid.IntRange(minServers, minServers+40).Draw(t, "servers"), versions, memory)
		assignments := Assign(document, live)
		for _, assignment := range assignments {
			if len(assignment.Versions) > memory {
				t.Fatal("assignment exceeds the memory")
			}
		}
		for version := range document.Versions {
			centres := map[lavid.DataCentreID]bool{}
			for _, holder := range serversHolding(assignments, version) {
				centres[document.BackendServers[holder].DataCentre] = true
			}
			if len(centres) < MinServers {
				t.Fatalf("%s is in %d data centres", version, len(centres))
			}
		}
	})
}

func TestLossOfOneServerChangesFewAssignments(t *testing.T) {
	is := is.New(t)
	document, live := fleet(60, 8, 2)
	before := Assign(document, live)
	after := Assign(document, live[1:])
	moved := 0
	for _, assignment := range after {
		if !slices.Equal(assignment.Versions, ForServer(before, assignment.Server).Versions) {
			moved++
		}
	}
	is.True(moved <= 6)
}

func TestRollOutTakesItsWeightFromTheVersionItReplaces(t *testing.T) {
	is := is.New(t)
	document, live := fleet(100, 2, 1)
	document.Versions["v-new"] = lavconfig.Version{State: lavconfig.VersionRollingOut, Replaces: "v-0", MaxShare: 0.2}
	assignments := Assign(document, live)
	newCount, oldCount, otherCount := len(serversHolding(assignments, "v-new")), len(serversHolding(assignments, "v-0")), len(serversHolding(assignments, "v-1"))
	is.True(newCount >= MinServers && newCount < oldCount)
	is.True(otherCount > 35)
	is.Equal(newCount+oldCount+otherCount, 100)
}

type warmCount map[lavid.VersionID]int

func (w warmCount) Others(version lavid.VersionID) int { return w[version] }

func TestLastWarmServersKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	assignment := Assignment{Server: "s", Versions: []lavid.VersionID{"new"}, Role: RoleMixed}
	observed := Observed{Loaded: []lavid.VersionID{"old"}, Memory: 1, Role: RoleMixed}
	is.Equal(Next(assignment, observed, "dc", warmCount{"old": 1}).Kind, StepWait)
	is.Equal(Next(assignment, observed, "dc", warmCount{"old": 2}).Kind, StepUnload)
	observed.Withdrawn = observed.Loaded
	is.Equal(Next(assignment, observed, "dc", warmCount{}).Kind, StepUnload)
	observed.Running = []lavid.VersionID{"old"}
	is.Equal(Next(assignment, observed, "dc", warmCount{"old": 2}).Kind, StepWait)
	is.Equal(Next(assignment, Observed{Memory: 1, Role: RoleMixed}, "dc", warmCount{}).Kind, StepLoad)
	is.Equal(Next(assignment, Observed{Loaded: assignment.Versions, Memory: 1, Role: RoleMixed}, "dc", warmCount{}).Kind, StepNone)
}

// TestInterruptedRollOutKeepsEveryVersionWarm stops a roll-out after a random number of steps of random servers.
// It guards against servers that unload a version while fewer than MinServers others hold it.
func TestInterruptedRollOutKeepsEveryVersionWarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document, live := fleet(20, 3, 2)
		state := newFleetState(Assign(document, live))
		document.Versions["v-new"] = lavconfig.Version{State: lavconfig.VersionRollingOut, Replaces: "v-0", MaxShare: 0.5}
		assignments := Assign(document, live)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			id := rapid.SampledFrom(live).Draw(t, "server")
			state.step(ForServer(assignments, id))
			for i := range 3 {
				if version := lavid.VersionID(fmt.Sprint("v-", i)); state.others(version, "") < MinServers {
					t.Fatalf("%s has %d warm servers", version, state.others(version, ""))
				}
			}
		}
	})
}

type fleetState map[lavid.BackendServerID][]lavid.VersionID

func newFleetState(assignments []Assignment) fleetState {
	state := fleetState{}
	for _, assignment := range assignments {
		state[assignment.Server] = slices.Clone(assignment.Versions)
	}
	return state
}

func (s fleetState) others(version lavid.VersionID, self lavid.BackendServerID) int {
	count := 0
	for id, loaded := range s {
		if id != self && slices.Contains(loaded, version) {
			count++
		}
	}
	return count
}

type warmFleet struct {
	state fleetState
	self  lavid.BackendServerID
}

func (w warmFleet) Others(version lavid.VersionID) int { return w.state.others(version, w.self) }

func (s fleetState) step(assignment Assignment) {
	id := assignment.Server
	observed := Observed{Loaded: s[id], Memory: 2, Role: RoleMixed}
	next := Next(assignment, observed, "dc", warmFleet{s, id})
	if next.Kind == StepLoad {
		s[id] = append(s[id], next.Version)
	}
	if next.Kind == StepUnload {
		s[id] = slices.DeleteFunc(s[id], func(version lavid.VersionID) bool { return version == next.Version })
	}
}

func TestRequestToAFullPoolTakesAnotherPlanThenWaitsThenIsRefused(t *testing.T) {
	is := is.New(t)
	full := Pool{Servers: 2, PredictedWait: time.Second}
	is.Equal(Decide(Pool{Servers: 1, Available: 1}, PendingRequest{}), Dispatch)
	is.Equal(Decide(full, PendingRequest{OtherPlan: true}), OtherPlan)
	is.Equal(Decide(full, PendingRequest{OtherPlan: true, Pinned: true, TimeLeft: time.Minute}), Wait)
	is.Equal(Decide(full, PendingRequest{TimeLeft: time.Millisecond}), Refuse)
	is.Equal(Decide(Pool{}, PendingRequest{TimeLeft: time.Minute}), Refuse)
	is.Equal(Decide(Pool{Loading: 1}, PendingRequest{TimeLeft: time.Minute}), Wait)
}
