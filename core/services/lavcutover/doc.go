// Package lavcutover moves a service's traffic to an ordered release: a trial on few sessions, then everything, then the
// end; a release that answers worse is stopped at once.
//
// All hosts agree on one row per service, in which a cutover is running, stopped or complete. Nothing that a trial shows
// proves a release good, for it may fail under load only. So everything moves late, when what is left of the time fits
// the allowed exposure.
package lavcutover
