// Package lavforecast predicts when a model engine answers, from the answers that this host has seen, and decides by that in
// which order requests are worth serving.
package lavforecast
