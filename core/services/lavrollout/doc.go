// Package lavrollout decides how much traffic a version may take, from the evidence on its answers.
//
// A version under roll-out is compared with the version that it replaces, on
// the same task classes at the same time, by sequential tests that may be
// read after every report. The tests bet on several sizes of fault and on
// several starting points, so that a version that turns bad late is found
// too. A version in full service is compared with its own past.
package lavrollout
