// Package lavescalation decides whether a larger model runs a request again instead of delivering a smaller model's answer.
//
// A second run is worth the answers that it is expected to make better: what the confidences of earlier second answers showed,
// less the answer at hand, as far as the run ends in time. It costs the time that an engine reads for it, at a price that
// follows the work that waits at all engines. All hosts see the same work in their reports, so that they charge about the same
// price, and the scarce engines go to the runs with the greatest gain for their time, whichever host asks.
package lavescalation
