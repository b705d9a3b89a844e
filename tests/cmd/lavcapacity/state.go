package main

import (
	"context"
	"fmt"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavprefix"
	"lavenderswitch/core/services/lavqueue"
	"lavenderswitch/core/services/lavsession"
)

// answerBytes is the length of each buffered answer.
const answerBytes = 40 << 10

// measureState measures the memory per row of each in-memory table.
func measureState(r *report) error {
	now := time.Now()
	tables := []struct {
		name  string
		size  string
		build func(n int) any
	}{
		{"session pins", "session", func(n int) any { return pins(n, now) }},
		{"unconfirmed bills", "bill", bills},
		{"answer buffers of 40 KiB", "answer", answers},
		{"permits of a limit", "request", func(n int) any { return permits(n, now) }},
		{"queued requests", "request", func(n int) any { return queuedRequests(n, now) }},
		{"prefix beliefs", "prefix", func(n int) any { return prefixes(n, now) }},
		{"known hosts", "host", func(n int) any { return members(n, now) }},
	}
	for _, table := range tables {
		s := r.series(table.name, "bytes", table.size)
		for _, n := range []int{500, 1000, 2000} {
			s.add(float64(n), heapOf(func() any { return table.build(n) }))
		}
	}
	return nil
}

// pins and the following functions each return a table with n rows, or nil if a row cannot be added.
func pins(n int, now time.Time) any {
	table, err := lavsession.NewTable(n)
	if err != nil {
		return nil
	}
	for i := range n {
		key := lavsession.Key{Account: account, Session: lavid.SessionID(fmt.Sprint(requestID, i)), Model: "drafting"}
		table.Store(key, lavsession.Pin{Version: version, Used: now})
	}
	return table
}

func bills(n int) any {
	pending := lavbill.NewPending(n)
	for i := range n {
		pending.Add(lavbill.Bill{Key: lavbill.Key{Account: account, Request: lavid.RequestID(fmt.Sprint(requestID, i))}})
	}
	return pending
}

func answers(n int) any {
	all := make([]*lavanswer.Buffer, 0, n)
	event := make([]byte, 200)
	for range n {
		buffer := lavanswer.NewBuffer()
		for range answerBytes / len(event) {
			if buffer.Append(context.Background(), event) != nil {
				return nil
			}
		}
		all = append(all, buffer)
	}
	return all
}

func permits(n int, now time.Time) any {
	limiter := lavlimit.New(lavlimit.Settings{StartRunning: 2 * n, StartTokens: 1 << 40, MaxRunning: 2 * n}, now)
	for range n {
		limiter.Admit(1, now)
	}
	return limiter
}

func queuedRequests(n int, now time.Time) any {
	queue := lavqueue.New(lavqueue.Settings{MaxRequests: 10 * n, MaxTokens: 1 << 40}, nil, now)
	for i := range n {
		item := lavqueue.Item{Account: lavid.AccountID(fmt.Sprint("account-", i%designAccounts)), Tokens: 100, Deadline: now.Add(time.Hour)}
		if _, refusal := queue.Push(item, now); refusal != nil {
			return nil
		}
	}
	return queue
}

func prefixes(n int, now time.Time) any {
	table := lavprefix.New(n)
	for i := range n {
		table.RecordRoute("engine-0001", lavprefix.Key{Version: version, Prefix: lavprefix.Hash(i)}, now)
	}
	return table
}

func members(n int, now time.Time) any {
	table := lavmembership.New(lavmembership.Member{ID: "self"})
	for i := range n {
		table.RecordContact(lavmembership.Member{
			ID: lavid.HostID(fmt.Sprint("entry-host-", i)), Role: "Entry", Address: fmt.Sprintf("10.0.%d.%d:7301", i/250, i%250), DataCentre: "centre-1",
		}, now)
	}
	return table
}

func serverIDs(built *lavconfig.Document) []lavid.BackendServerID {
	var ids []lavid.BackendServerID
	for id := range built.BackendServers {
		ids = append(ids, id)
	}
	return ids
}
