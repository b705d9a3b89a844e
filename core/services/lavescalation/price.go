package lavescalation

import "time"

// Price is the price of engine time, in right answers for each second that an engine reads.
type Price float64

// maxPrice bounds the price. No run of usual length is made at it.
const maxPrice Price = 8

// PriceOf returns the price of engine time while requests wait for backlog on average at the engines. It is zero while they wait no
// longer than allowed. At twice that, a second of engine time has to bring one right answer.
func PriceOf(backlog, allowed time.Duration) Price {
	if allowed <= 0 {
		return 0
	}
	return min(max(Price(backlog)/Price(allowed)-1, 0), maxPrice)
}
