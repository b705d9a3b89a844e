package lavlife

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSharedIntervalBoundsTheRateOfAllHosts guards against a load on the store that grows with the number of hosts.
func TestSharedIntervalBoundsTheRateOfAllHosts(t *testing.T) {
	is := is.New(t)
	is.Equal(SharedInterval(200*time.Millisecond, 4), 200*time.Millisecond)
	const hosts = 1020
	rate := hosts / SharedInterval(200*time.Millisecond, hosts).Seconds()
	is.True(rate <= 200)
}
