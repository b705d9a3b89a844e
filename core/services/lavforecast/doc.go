// Package lavforecast predicts when a model engine answers, from the answers that this host has seen.
package lavforecast
