package lavmatrix

import (
	"encoding/json"
	"fmt"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/tests/modules/lavcluster"
)

type billRow struct {
	Account lavid.AccountID
	Request lavid.RequestID
}

// checkBills checks that each answered request has one bill, and each bill a request that ran: point 4.
func (c *Case) checkBills(platform lavtruth.Platform) []Violation {
	var found []Violation
	bills := make(map[billRow]int)
	for _, row := range platform.Rows {
		var bill billRow
		if row.Table == tableBill && json.Unmarshal(row.Value, &bill) == nil {
			bills[bill]++
		}
	}
	for id, tries := range c.requests() {
		count := bills[billRow{Account: tries[0].Request.Account, Request: id}]
		if count > 1 || (count == 0 && answered(tries)) {
			found = append(found, Violation{BilledOnce, fmt.Sprintf("%s has %d bills", id, count)})
		}
	}
	return found
}

func answered(tries []lavcluster.Reply) bool {
	for _, try := range tries {
		if try.Whole() {
			return true
		}
	}
	return false
}

type configRow struct {
	PatchID  lavid.PatchID
	Document lavconfig.Document
}

func configRows(platform lavtruth.Platform) []configRow {
	var rows []configRow
	for _, row := range platform.Rows {
		var one configRow
		if row.Table == tableConfig && json.Unmarshal(row.Value, &one) == nil {
			rows = append(rows, one)
		}
	}
	return rows
}

// checkConfig checks that numbers never go back, accepted patches stand and are in force everywhere in time: point 12.
func (c *Case) checkConfig(platform lavtruth.Platform) []Violation {
	found := c.checkNumbers()
	found = append(found, c.checkSubmits(platform)...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Kind != ConfigAccepted {
			continue
		}
		due := event.At
		if c.healed.After(due) {
			due = c.healed
		}
		for _, seen := range c.numbers {
			if seen.At.After(due.Add(inForce)) && seen.Number < event.Number {
				found = append(found, Violation{ConfigInForce, fmt.Sprintf("%s has %d at %s, accepted was %d at %s",
					seen.Host, seen.Number, seen.At.Format(time.StampMilli), event.Number, event.At.Format(time.StampMilli))})
				break
			}
		}
	}
	return found
}

// checkNumbers checks that no start of a process ever reports a lower number than before.
func (c *Case) checkNumbers() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Violation
	type start struct {
		host  string
		start int
	}
	highest := make(map[start]lavid.ConfigNumber)
	for _, seen := range c.numbers {
		key := start{seen.Host, seen.Start}
		if seen.Number < highest[key] {
			found = append(found, Violation{ConfigInForce, fmt.Sprintf("%s went back from %d to %d", seen.Host, highest[key], seen.Number)})
		}
		highest[key] = max(highest[key], seen.Number)
	}
	return found
}

// checkSubmits checks that a patch is in the store if its operator was told so, and each number has one patch.
func (c *Case) checkSubmits(platform lavtruth.Platform) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := make(map[lavid.PatchID]lavid.ConfigNumber)
	var found []Violation
	for _, row := range configRows(platform) {
		if number, ok := stored[row.PatchID]; ok {
			found = append(found, Violation{ConfigInForce, fmt.Sprintf("patch %s is stored as %d and %d", row.PatchID, number, row.Document.Number)})
		}
		stored[row.PatchID] = row.Document.Number
	}
	for _, submitted := range c.submits {
		if submitted.Accepted() && stored[submitted.Patch] != submitted.Number {
			found = append(found, Violation{ConfigInForce, fmt.Sprintf("patch %s was told %d and is stored as %d", submitted.Patch, submitted.Number, stored[submitted.Patch])})
		}
	}
	return found
}
