// Package lavevidence estimates the quality and cost of versions per task class from counts of rated answers.
//
// Many senders report counts, which are pooled in one table. Answers without a rating are left out of the
// estimates of quality. That is unbiased only if ratings are missing at random; Bounds returns the interval that
// holds in any case.
package lavevidence
