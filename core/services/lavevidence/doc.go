// Package lavevidence estimates the quality and cost of versions per task class from counts of rated answers.
//
// Counts are reported by many senders and pooled in one table. A missing
// rating is treated as missing: estimates use the rated answers alone, and
// Bounds states how far the truth can be when missing ratings are not random.
package lavevidence
