package lavlife

import "time"

// writeIntervalPerHost limits the writes of all hosts together to 200 per second.
const writeIntervalPerHost = 5 * time.Millisecond

// SharedInterval returns the time between two writes of one host, at least minInterval. It grows with the number of hosts,
// which bounds the rate of all hosts together.
func SharedInterval(minInterval time.Duration, hosts int) time.Duration {
	return max(minInterval, time.Duration(hosts)*writeIntervalPerHost)
}
