package lavbuffer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
)

var start = time.Unix(1000, 0)

func newStream(account lavid.AccountID, ended *[]string, name string) *Stream {
	return &Stream{Account: account, End: func() { *ended = append(*ended, name) }}
}

// TestSlowestStreamOfTheLargestAccountEnds answers the pattern of many slow callers of one account that fill the memory of a host:
// the callers of other accounts, and those that keep up, must not pay for it.
func TestSlowestStreamOfTheLargestAccountEnds(t *testing.T) {
	is := is.New(t)
	var ended []string
	budget := New(100, 60)
	first, second, other := newStream("large", &ended, "first"), newStream("large", &ended, "second"), newStream("small", &ended, "other")
	is.True(budget.Take(other, 30, start)) // behind for the longest time, but of a small account
	is.True(budget.Take(first, 35, start.Add(time.Second)))
	is.True(budget.Take(second, 30, start.Add(2*time.Second)))
	is.Equal(len(ended), 0)
	is.True(budget.Take(second, 10, start.Add(3*time.Second)))
	is.Equal(ended, []string{"first"})
	is.Equal(budget.Held(), int64(70))
	is.True(!budget.Room(second, 21))
	is.True(budget.Room(second, 20))
	budget.Return(second, 40)
	budget.Return(first, 35) // what has ended holds nothing
	budget.Release(other)
	is.Equal(budget.Held(), int64(0))
}

// TestHeldBytesStayWithinTheBudget guards against a bound that is exceeded, and against streams that end although their callers
// keep up.
func TestHeldBytesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var ended []string
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		budget := New(limit, limit)
		var streams []*Stream
		for i := range 8 {
			streams = append(streams, newStream(lavid.AccountID(fmt.Sprint(i%3)), &ended, fmt.Sprint(i)))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			stream := rapid.SampledFrom(streams).Draw(t, "stream")
			bytes := rapid.Int64Range(0, 200).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				budget.Return(stream, bytes)
			case 1:
				budget.Release(stream)
			default:
				idle := stream.held == 0 && bytes == 0
				before := len(ended)
				goesOn := budget.Take(stream, bytes, start.Add(time.Duration(i)*time.Second))
				is.True(goesOn || stream.ended)
				is.True(!idle || len(ended) == before || stream.held == 0)
			}
			is.True(budget.Held() >= 0)
			is.True(budget.Held() <= limit)
		}
		for _, stream := range streams {
			budget.Release(stream)
		}
		is.Equal(budget.Held(), int64(0))
	})
}
