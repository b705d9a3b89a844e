package lavbilling

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/entry/models/lavrequest"
)

// BillTable holds one row for each billed request.
const BillTable = "Bill"

const batchSize = 100

// Bill is the value of a bill row.
type Bill struct {
	Account  lavid.AccountID
	Request  lavid.RequestID
	Version  lavid.VersionID
	Cost     lavid.NanoUnits
	Finished time.Time
}

// Rows is the part of the table service that billing needs.
type Rows interface {
	InsertAll(ctx context.Context, inserts []lavplatform.Insert) ([]lavplatform.Written, error)
}

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Billing keeps bills until the table service has confirmed them.
type Billing struct {
	Rows    Rows
	Configs Configs
	Log     *logrus.Logger

	mu      sync.Mutex
	pending []Bill
}

// Record keeps the bill of a finished request.
func (b *Billing) Record(request *lavrequest.Request, version lavid.VersionID, usage lavrequest.Usage, now time.Time) {
	row := b.Configs.Document().Versions[version]
	cost := lavid.NanoUnits(usage.InputTokens)*row.InputPrice + lavid.NanoUnits(usage.OutputTokens)*row.OutputPrice
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, Bill{Account: request.Account, Request: request.ID, Version: version, Cost: cost, Finished: now})
}

// Flush writes pending bills; a bill that is already there was written by an earlier try.
func (b *Billing) Flush(ctx context.Context) {
	b.mu.Lock()
	batch := b.pending[:min(len(b.pending), batchSize)]
	b.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	if _, err := b.Rows.InsertAll(ctx, inserts(batch)); err != nil {
		b.Log.WithError(err).Warning("bills are not confirmed; trying again at the next tick")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = b.pending[len(batch):]
}

func inserts(bills []Bill) []lavplatform.Insert {
	rows := make([]lavplatform.Insert, 0, len(bills))
	for _, bill := range bills {
		value, err := json.Marshal(bill)
		if err != nil {
			panic(err)
		}
		key := string(bill.Account) + "/" + string(bill.Request)
		rows = append(rows, lavplatform.Insert{Table: BillTable, Key: key, Writer: key, Value: value})
	}
	return rows
}
