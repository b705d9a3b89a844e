package lavlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Bounded is a log of a bounded number of lines a second that never waits for its reader.
type Bounded struct {
	*logrus.Logger
	async  *Async
	budget *Budget
}

// NewBounded returns a log to w of the lines of a host from a level on; Close writes what is queued.
func NewBounded(w io.Writer, level, host string) (*Bounded, error) {
	async, budget := NewAsync(w), NewBudget(host)
	logger, err := New(async, level)
	if err != nil {
		async.Close()
		return nil, err
	}
	logger.SetFormatter(budget)
	return &Bounded{Logger: logger, async: async, budget: budget}, nil
}

// OverBudget returns the number of lines left out because there were too many of one message.
func (b *Bounded) OverBudget() int64 { return b.budget.Skipped() }

// Unread returns the number of lines dropped because nobody read them.
func (b *Bounded) Unread() int64 { return b.async.Dropped() }

// Close writes what is queued; nothing may be logged any more.
func (b *Bounded) Close() { b.async.Close() }
