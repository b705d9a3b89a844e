package lavid

// ConfigNumber counts accepted configurations from one.
type ConfigNumber uint64

// Epoch is a fencing number; an order that carries a lower one is void.
type Epoch uint64

// Tokens counts tokens of a prompt or an answer.
type Tokens int64

// NanoUnits counts billionths of the currency unit in which prices are stated.
type NanoUnits int64

// Quality is the probability that an answer is rated acceptable, from 0 to 1.
type Quality float64

// Share is a part of a whole, from 0 to 1.
type Share float64
