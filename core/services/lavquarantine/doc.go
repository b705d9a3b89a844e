// Package lavquarantine keeps requests from backend servers if each server that begins to answer one ends, because of a part of
// their prompts or of the whole request. Hosts tell each other which servers ended with which of them, and which have been
// answered since.
package lavquarantine
