package lavgate

import (
	"context"
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavserve"
)

const retryAfterBusy = time.Second

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Gate counts the requests in progress of each client account.
type Gate struct {
	Configs Configs

	mu       sync.Mutex
	progress map[lavid.AccountID]int
}

// New returns a gate over the configuration.
func New(configs Configs) *Gate {
	return &Gate{Configs: configs, progress: make(map[lavid.AccountID]int)}
}

// Enter admits a request or refuses it at once when its account has too many in progress.
func (g *Gate) Enter(_ context.Context, request *lavrequest.Request, _ lavserve.Pool) (func(), error) {
	limit := g.Configs.Document().ClientAccounts[request.Account].MaxConcurrent
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && g.progress[request.Account] >= limit {
		return nil, laverror.New(laverror.KindTooManyRequests, "the client account has too many requests in progress", "wait for answers before sending more").WithRetryAfter(retryAfterBusy)
	}
	g.progress[request.Account]++
	return func() { g.leave(request.Account) }, nil
}

func (g *Gate) leave(account lavid.AccountID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress[account]--
	if g.progress[account] == 0 {
		delete(g.progress, account)
	}
}
