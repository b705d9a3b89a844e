package lavmembership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
)

// HostList gives the platform's host list, which lags.
type HostList interface {
	Hosts(ctx context.Context) ([]lavplatform.Host, error)
}

// The cost of reading the host list.
const (
	// hostBytes is about the size of one row of the list.
	hostBytes = 120
	// listBytesPerSecond bounds what a host spends on reading the list.
	listBytesPerSecond = 2 << 10
	// shortestPoll separates reads while there are few hosts.
	shortestPoll = 2 * time.Second
	// shortestPollAlone separates them while no other entry host is known, so that hosts that start together soon share what one alone would decide.
	shortestPollAlone = 250 * time.Millisecond
)

// Poller reads the host list into a table.
type Poller struct {
	lavlife.DoneSignal
	Table *Table
	List  HostList
	Log   *logrus.Logger
}

// Run reads the list until ctx ends; reads are rarer when there are more hosts.
func (p *Poller) Run(ctx context.Context) {
	defer p.Finish()
	for ctx.Err() == nil {
		p.read(ctx)
		lavlife.Sleep(ctx, jitter(PollInterval(p.Table.Count(), p.Table.KnowsEntry(time.Now()))))
	}
}

func (p *Poller) read(ctx context.Context) {
	hosts, err := p.List.Hosts(ctx)
	if err != nil {
		p.Log.WithError(err).Warning("platform gave no host list; keeping the known hosts")
		return
	}
	p.Table.Merge(hosts, time.Now())
}

// PollInterval returns the time between two reads of a list of count hosts, which is shorter while no other entry host is known.
func PollInterval(count int, knowsEntry bool) time.Duration {
	shortest := shortestPollAlone
	if knowsEntry {
		shortest = shortestPoll
	}
	return max(shortest, time.Duration(count)*hostBytes*time.Second/listBytesPerSecond)
}

// jitter returns between three quarters and five quarters of interval.
func jitter(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2)
}
