package lavlife

import "time"

// sharedInterval for each host keeps the writes of all hosts together at 200 a second.
const sharedInterval = 5 * time.Millisecond

// SharedInterval returns the time between two writes of one of count hosts, so that the rate of all stays bounded.
func SharedInterval(least time.Duration, count int) time.Duration {
	return max(least, time.Duration(count)*sharedInterval)
}
