// Package lavrollout decides how much traffic a version may take, from the failures and ratings of its answers.
//
// A version under roll-out is compared with the version that it replaces, on the same task classes over the same
// time. A version in full service is compared with its own past and with the other versions. All tests are
// sequential: they may be evaluated after every report without raising the probability of a false stop. They cover
// several effect sizes and starting times, so that a version that turns bad late is found too.
package lavrollout
