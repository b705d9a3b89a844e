// Package lavquarantine keeps prompts from backend servers if a part of them ends each server that begins to answer one. Hosts
// tell each other which servers ended with which parts, and which parts have been answered since.
package lavquarantine
