package lavlosses

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// Window is the length of the windows by which requests are summed up.
	Window = 2 * time.Second
	// doubtful is the confidence below which a delivered answer is more likely wrong than right.
	doubtful = 50
)

// lengthClasses are the bounds of the classes by length, as parts of the requests of a route, and their names.
var lengthClasses = []struct {
	part float64
	name string
}{{0.5, "to the half"}, {0.7, "to 0.7"}, {0.9, "to 0.9"}, {1, "longest tenth"}}

// Group sums up requests. Times are those of answered streams, in the middle and at the 90th percentile.
type Group struct {
	Name     string
	Requests int
	Late     int
	// Failed counts requests that got a failure or a part of an answer, Refused those that did not run, and Left those whose caller left.
	Failed  int
	Refused int
	Left    int
	First   Quantiles
	Waited  Quantiles
	// FirstRun is the time of runs whose answers were dropped, and LastRun that of the delivered ones.
	FirstRun Quantiles
	LastRun  Quantiles
	Pause    Quantiles
	// Dropped counts first answers that were dropped, Withheld the wanted second runs that were not made, by reason, and Doubtful the
	// delivered answers with a confidence below one half.
	Dropped  int
	Withheld map[string]int
	Doubtful int
	// Cost is the mean cost of the second runs in a window, in right answers elsewhere.
	Cost float64 `json:",omitempty"`
}

// Quantiles are those of a time.
type Quantiles struct {
	Middle time.Duration
	High   time.Duration
}

// Report sums up all requests in several ways.
type Report struct {
	Routes      []Group
	Lengths     []Group
	Accounts    []Group
	DataCentres []Group
	Windows     []Group
	// Cut is the number of requests whose end no host logged, as the host that had them ended.
	Cut int
	// Damaged is the number of log lines that could not be read.
	Damaged int
}

// Report returns the sums over what was read.
func (r *Reader) Report() Report {
	report := Report{
		Routes:      group(r.ends, func(end End) string { return end.Route }),
		Lengths:     group(r.ends, lengthClassOf(r.ends)),
		Accounts:    group(r.ends, func(end End) string { return string(end.Account) }),
		DataCentres: group(r.ends, func(end End) string { return string(end.DataCentre) }),
		Cut:         len(r.open),
		Damaged:     r.damaged,
	}
	if len(r.ends) == 0 {
		return report
	}
	first := slices.MinFunc(r.ends, func(a, b End) int { return a.Arrived.Compare(b.Arrived) }).Arrived
	window := func(at time.Time) string {
		return fmt.Sprintf("%6.0f s", at.Sub(first).Truncate(Window).Seconds())
	}
	report.Windows = group(r.ends, func(end End) string { return window(end.Arrived) })
	costs := make(map[string][]float64)
	for _, cost := range r.costs {
		costs[window(cost.at)] = append(costs[window(cost.at)], cost.value)
	}
	for i := range report.Windows {
		for _, value := range costs[report.Windows[i].Name] {
			report.Windows[i].Cost += value / float64(len(costs[report.Windows[i].Name]))
		}
	}
	return report
}

// lengthClassOf returns a function that names the route of a request and the class of its length among those of the route; empty for
// requests without a prompt.
func lengthClassOf(ends []End) func(End) string {
	lengths := make(map[string][]lavid.Tokens)
	for _, end := range ends {
		if end.Input > 0 {
			lengths[end.Route] = append(lengths[end.Route], end.Input)
		}
	}
	for _, all := range lengths {
		slices.Sort(all)
	}
	return func(end End) string {
		if end.Input == 0 {
			return ""
		}
		all := lengths[end.Route]
		place := 0
		for place < len(lengthClasses)-1 && end.Input > all[int(lengthClasses[place].part*float64(len(all)-1))] {
			place++
		}
		return fmt.Sprintf("%s, %d %s", end.Route, place+1, lengthClasses[place].name)
	}
}

// group sums up the requests by the names that a function gives them, in the order of the names. Those without a name are left out.
func group(ends []End, nameOf func(End) string) []Group {
	byName := make(map[string][]End)
	for _, end := range ends {
		if name := nameOf(end); name != "" {
			byName[name] = append(byName[name], end)
		}
	}
	groups := make([]Group, 0, len(byName))
	for name, members := range byName {
		groups = append(groups, sum(name, members))
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

func sum(name string, ends []End) Group {
	result := Group{Name: name, Requests: len(ends), Withheld: make(map[string]int)}
	var first, waited, firstRun, lastRun, pause []time.Duration
	for _, end := range ends {
		switch end.Outcome {
		case msgRefused:
			result.Refused++
		case msgBrokenOff:
			result.Failed++
		case msgCallerLeft:
			result.Left++
		}
		if end.isLate() {
			result.Late++
		}
		if end.Dropped {
			result.Dropped++
			firstRun = append(firstRun, end.FirstRun)
		}
		if end.Withheld != "" {
			result.Withheld[end.Withheld]++
		}
		if end.Outcome != msgAnswered {
			continue
		}
		first = append(first, end.First)
		if end.Input > 0 {
			waited, lastRun, pause = append(waited, end.Waited), append(lastRun, end.LastRun), append(pause, end.Pause)
		}
		if end.HasConfidence && end.Confidence < doubtful {
			result.Doubtful++
		}
	}
	result.First, result.Waited, result.Pause = quantilesOf(first), quantilesOf(waited), quantilesOf(pause)
	result.FirstRun, result.LastRun = quantilesOf(firstRun), quantilesOf(lastRun)
	return result
}

// quantilesOf sorts the times and returns their quantiles, which are zero without times.
func quantilesOf(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	at := func(part float64) time.Duration { return times[int(part*float64(len(times)-1))] }
	return Quantiles{Middle: at(0.5), High: at(0.9)}
}
