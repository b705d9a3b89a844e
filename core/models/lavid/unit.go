package lavid

// ConfigNumber is the sequence number of an accepted configuration, counted from one.
type ConfigNumber uint64

// Epoch is a fencing token. An order with a lower epoch than the latest is refused.
type Epoch uint64

// Tokens is a number of tokens of a prompt or an answer.
type Tokens int64

// NanoUnits is an amount of money in billionths of the currency unit of the prices.
type NanoUnits int64

// Quality is the probability that an answer is rated acceptable, from 0 to 1.
type Quality float64

// Share is a fraction of a whole, from 0 to 1.
type Share float64
