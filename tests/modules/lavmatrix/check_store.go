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
	var violations []Violation
	bills := make(map[billRow]int)
	for _, row := range platform.Rows {
		var bill billRow
		if row.Table == tableBill && json.Unmarshal(row.Value, &bill) == nil {
			bills[bill]++
		}
	}
	for id, tries := range c.requests() {
		count := bills[billRow{Account: tries[0].Request.Account, Request: id}]
		if count > 1 || (count == 0 && isAnswered(tries)) {
			violations = append(violations, Violation{BilledOnce, fmt.Sprintf("%s has %d bills", id, count)})
		}
	}
	return violations
}

func isAnswered(tries []lavcluster.Reply) bool {
	for _, try := range tries {
		if try.IsComplete() {
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
		var decoded configRow
		if row.Table == tableConfig && json.Unmarshal(row.Value, &decoded) == nil {
			rows = append(rows, decoded)
		}
	}
	return rows
}

// checkConfig checks that numbers never go back, accepted patches stand and are in force everywhere in time: point 12.
func (c *Case) checkConfig(platform lavtruth.Platform) []Violation {
	violations := c.checkNumbers()
	violations = append(violations, c.checkPatches(platform)...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Kind != ConfigAccepted {
			continue
		}
		due := event.At
		if c.healedAt.After(due) {
			due = c.healedAt
		}
		for _, reading := range c.readings {
			if reading.At.After(due.Add(propagationLimit)) && reading.Number < event.Number {
				violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("%s has %d at %s, accepted was %d at %s",
					reading.Host, reading.Number, reading.At.Format(time.StampMilli), event.Number, event.At.Format(time.StampMilli))})
				break
			}
		}
	}
	return violations
}

// checkNumbers checks that no start of a process ever reports a lower number than before.
func (c *Case) checkNumbers() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []Violation
	type start struct {
		host  string
		start int
	}
	highest := make(map[start]lavid.ConfigNumber)
	for _, reading := range c.readings {
		key := start{reading.Host, reading.Start}
		if reading.Number < highest[key] {
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("%s went back from %d to %d", reading.Host, highest[key], reading.Number)})
		}
		highest[key] = max(highest[key], reading.Number)
	}
	return violations
}

// checkSubmits checks that a patch is in the store if its operator was told so, and each number has one patch.
func (c *Case) checkPatches(platform lavtruth.Platform) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := make(map[lavid.PatchID]lavid.ConfigNumber)
	var violations []Violation
	for _, row := range configRows(platform) {
		if number, ok := stored[row.PatchID]; ok {
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("patch %s is stored as %d and %d", row.PatchID, number, row.Document.Number)})
		}
		stored[row.PatchID] = row.Document.Number
	}
	for _, result := range c.patchResults {
		if result.Accepted() && stored[result.Patch] != result.Number {
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("patch %s was told %d and is stored as %d", result.Patch, result.Number, stored[result.Patch])})
		}
	}
	return violations
}
