package lavmembership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
)

// HostList reads the platform's host list, which lags behind the hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]lavplatform.Host, error)
}

// The parameters of the poll interval.
const (
	// hostBytes is the approximate size of one row of the list.
	hostBytes = 120
	// listBytesPerSecond bounds the average rate at which a host reads the list.
	listBytesPerSecond = 2 << 10
	// minPollInterval separates reads while there are few hosts.
	minPollInterval = 2 * time.Second
	// minPollIntervalAlone separates reads while no other entry host is in the table, so that entry hosts that start
	// together find each other quickly and do not decide alone for long.
	minPollIntervalAlone = 250 * time.Millisecond
)

// Poller reads the host list into a table.
type Poller struct {
	lavlife.DoneSignal
	Table *Table
	List  HostList
	Log   *logrus.Logger
}

// Run reads the list until ctx ends; the interval grows with the number of hosts.
func (p *Poller) Run(ctx context.Context) {
	defer p.Finish()
	for ctx.Err() == nil {
		p.read(ctx)
		lavlife.Sleep(ctx, jitter(PollInterval(p.Table.Count(), p.Table.HasEntryHost(time.Now()))))
	}
}

func (p *Poller) read(ctx context.Context) {
	hosts, err := p.List.Hosts(ctx)
	if err != nil {
		p.Log.WithError(err).Warning("cannot read the host list; keeping the current hosts")
		return
	}
	p.Table.Merge(hosts, time.Now())
}

// PollInterval returns the time between two reads of a list of count hosts; it is shorter while no other entry host is
// in the table.
func PollInterval(count int, hasEntryHost bool) time.Duration {
	shortest := minPollIntervalAlone
	if hasEntryHost {
		shortest = minPollInterval
	}
	return max(shortest, time.Duration(count)*hostBytes*time.Second/listBytesPerSecond)
}

// jitter returns a random duration between three quarters and five quarters of interval.
func jitter(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2)
}
