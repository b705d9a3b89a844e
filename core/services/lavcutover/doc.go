// Package lavcutover moves a service's traffic to an ordered release: a trial on few sessions, then growing shares while
// the release answers as well as the old ones, then the end; a release that answers worse is stopped at once.
//
// All hosts agree on one row per service, in which a cutover is running, stopped or complete. Shares follow from the
// time since it began, so that hosts need not talk to change them.
package lavcutover
