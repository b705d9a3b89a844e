package lavmatrix

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lavenderswitch/fake/services/lavfault"
)

// pairGap is the time between the two faults of a pair.
const pairGap = 200 * time.Millisecond

// Pair returns a fault that applies two faults, the second after pairGap, and heals both.
func Pair(first, second Fault) Fault {
	return Fault{
		Name:         first.Name + " and " + second.Name,
		LosesOutcome: first.LosesOutcome || second.LosesOutcome,
		platform:     slices.Concat(first.platform, second.platform),
		apply: func(c *Case) {
			first.apply(c)
			time.Sleep(pairGap)
			second.apply(c)
		},
		heal: func(c *Case) {
			for _, fault := range []Fault{first, second} {
				if fault.heal != nil {
					fault.heal(c)
				}
			}
		},
	}
}

// canPair reports whether two faults can be combined: they affect different parts of the fleet.
func canPair(first, second Fault) bool {
	return first.Name != second.Name && affectedPart(first) != affectedPart(second) && first.Name != noFault && second.Name != noFault
}

// affectedPart returns the part of the fleet that a fault changes.
func affectedPart(fault Fault) string {
	if len(fault.platform) > 0 {
		return "platform"
	}
	if fault.Name == "data centre out unseen" {
		return "side"
	}
	verb, rest, _ := strings.Cut(fault.Name, " ")
	if verb == "kill" || verb == "freeze" || verb == "cut" || verb == "silent" {
		return rest
	}
	return fault.Name
}

// Cell is a step combined with a fault or a pair of faults.
type Cell struct {
	Step  Step
	Fault Fault
}

// RandomPairs returns count random cells with pairs of faults. The same seed returns the same cells.
func RandomPairs(seed uint64, count int) []Cell {
	random := rand.New(rand.NewPCG(seed, seed))
	steps, faults := Steps(), Faults()
	var cells []Cell
	for len(cells) < count {
		step := steps[random.IntN(len(steps))]
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		if !canPair(first, second) || NotApplicableReason(step, first) != "" || NotApplicableReason(step, second) != "" || patchWouldFail(step, first, second) {
			continue
		}
		cells = append(cells, Cell{Step: step, Fault: Pair(first, second)})
	}
	return cells
}

// patchWouldFail reports whether a pair submits an operator's patch while the platform cannot store it or a process is being
// shut down.
func patchWouldFail(step Step, first, second Fault) bool {
	// submitsPatch reports whether the fault submits an operator's patch.
	submitsPatch := func(fault Fault) bool {
		return slices.Contains([]string{"operators racing", "version withdrawn", "data centre out", "data centre out unseen", "prices changed"}, fault.Name)
	}
	// disturbsStore reports whether the fault makes platform calls fail. A slow platform still stores patches.
	disturbsStore := func(fault Fault) bool {
		return slices.ContainsFunc(fault.platform, func(one lavfault.Fault) bool { return one.Kind != lavfault.Slow })
	}
	return (submitsPatch(first) || submitsPatch(second)) && (disturbsStore(first) || disturbsStore(second) || step.Shutdown)
}

// chosenPairs lists cells in which two faults threaten the same guarantee. Each line holds the step, the first fault and the
// second fault.
const chosenPairs = `
intent written/kill side/store down
admitted/kill entry/late write
work done/freeze side/kill entry
half streamed/silent entry-side/store down
billed/kill entry/silent side-platform
dispatched/cut entry-side/freeze side
`

// ChosenPairs returns the pairs that CI runs.
func ChosenPairs() []Cell {
	var cells []Cell
	for line := range strings.Lines(strings.TrimSpace(chosenPairs)) {
		names := strings.Split(strings.TrimSpace(line), "/")
		cells = append(cells, Cell{Step: stepByName(names[0]), Fault: Pair(faultByName(names[1]), faultByName(names[2]))})
	}
	return cells
}

// stepByName returns the row with the given name. It panics if there is none.
func stepByName(name string) Step {
	steps := Steps()
	index := slices.IndexFunc(steps, func(step Step) bool { return step.Name == name })
	if index < 0 {
		panic("no step named " + name)
	}
	return steps[index]
}

// faultByName returns the column with the given name. It panics if there is none.
func faultByName(name string) Fault {
	faults := Faults()
	index := slices.IndexFunc(faults, func(fault Fault) bool { return fault.Name == name })
	if index < 0 {
		panic("no fault named " + name)
	}
	return faults[index]
}
