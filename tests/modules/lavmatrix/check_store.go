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

// billRow holds the fields of a stored bill that identify its request.
type billRow struct {
	Account lavid.AccountID
	Request lavid.RequestID
}

// checkBills checks guarantee 4: a request has at most one bill, and an answered request has exactly one.
func (c *Case) checkBills(platform lavtruth.Platform) []Violation {
	var violations []Violation
	bills := make(map[billRow]int)
	for _, row := range platform.Rows {
		var bill billRow
		if row.Table == tableBill && json.Unmarshal(row.Value, &bill) == nil {
			bills[bill]++
		}
	}
	for id, replies := range c.repliesByRequest() {
		count := bills[billRow{Account: replies[0].Request.Account, Request: id}]
		if count > 1 || (count == 0 && isAnswered(replies)) {
			violations = append(violations, Violation{BilledOnce, fmt.Sprintf("%s has %d bills", id, count)})
		}
	}
	return violations
}

// isAnswered reports whether one of the replies is complete.
func isAnswered(replies []lavcluster.Reply) bool {
	for _, reply := range replies {
		if reply.IsComplete() {
			return true
		}
	}
	return false
}

// configRow holds the fields of a stored configuration that the checks read.
type configRow struct {
	PatchID  lavid.PatchID
	Document lavconfig.Document
}

// configRows returns the stored configurations.
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

// checkConfig checks guarantee 12: configuration numbers never decrease, and accepted patches are stored and in force on
// every host within propagationLimit.
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
				violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("%s reported configuration %d at %s, although %d was accepted at %s",
					reading.Host, reading.Number, reading.At.Format(time.StampMilli), event.Number, event.At.Format(time.StampMilli))})
				break
			}
		}
	}
	return violations
}

// checkNumbers checks that a process never reports a lower number than before, between one start and the next.
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
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("%s went back from configuration %d to %d", reading.Host, highest[key], reading.Number)})
		}
		highest[key] = max(highest[key], reading.Number)
	}
	return violations
}

// checkPatches checks that every acknowledged patch is stored under the acknowledged number and that no patch is stored
// under two numbers.
func (c *Case) checkPatches(platform lavtruth.Platform) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := make(map[lavid.PatchID]lavid.ConfigNumber)
	var violations []Violation
	for _, row := range configRows(platform) {
		if number, ok := stored[row.PatchID]; ok {
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("patch %s is stored as configurations %d and %d", row.PatchID, number, row.Document.Number)})
		}
		stored[row.PatchID] = row.Document.Number
	}
	for _, result := range c.patchResults {
		if result.Accepted() && stored[result.Patch] != result.Number {
			violations = append(violations, Violation{ConfigPropagation, fmt.Sprintf("patch %s was acknowledged as configuration %d but is stored as %d", result.Patch, result.Number, stored[result.Patch])})
		}
	}
	return violations
}
