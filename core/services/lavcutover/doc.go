// Package lavcutover moves a service's traffic to a new release ordered by an operator: first a small share of new
// sessions in a trial, then all traffic, then completion. A release whose answers are worse than those of the old
// one is stopped.
//
// All hosts agree on one stored row per service, which states whether its cutover is running, stopped or complete.
// A trial cannot prove a release good, as a release may fail only under full load. All traffic therefore moves late,
// when the rest of the ordered time fits the allowed exposure.
package lavcutover
