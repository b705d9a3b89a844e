package lavlife

import "time"

// writeIntervalPerHost for each host keeps the writes of all hosts together at 200 a second.
const writeIntervalPerHost = 5 * time.Millisecond

// SharedInterval returns the time between two writes of one of count hosts, so that the rate of all stays bounded.
func SharedInterval(minInterval time.Duration, hosts int) time.Duration {
	return max(minInterval, time.Duration(hosts)*writeIntervalPerHost)
}
