package lavforward

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausesCountByEvents guards against a speed that follows the many short streams, in which the pause for another prompt weighs
// most: long answers would be expected to take several times as long as they do.
func TestPausesCountByEvents(t *testing.T) {
	is := is.New(t)
	speeds := newSpeedEstimates()
	is.Equal(speeds.expectEvents(small, 10), time.Duration(0))
	for range 10 {
		speeds.recordPauses(small, 300*time.Millisecond, 1)
		speeds.recordPauses(small, 2*time.Second, 50)
	}
	expected := speeds.expectEvents(small, 51)
	is.True(math.Abs(expected.Seconds()-2.3) < 0.1)
}

// TestReadFactorFollowsWhatIsSeen guards against a second run that is taken to read nine times as long as it does.
func TestReadFactorFollowsWhatIsSeen(t *testing.T) {
	is := is.New(t)
	speeds := newSpeedEstimates()
	is.Equal(speeds.readFactor(large, small, 9), 9.0)
	for range 400 {
		speeds.recordRead(small, 10_000, 200*time.Millisecond)
		speeds.recordRead(large, 10_000, time.Second)
		speeds.recordRead(large, 50, time.Second) // too short to tell
	}
	factor := speeds.readFactor(large, small, 9)
	is.True(factor > 4.5 && factor < 5.5)
}
