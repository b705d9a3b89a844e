// Package lavpin pins each session to a model version. Two entry hosts own the pin of a session, and the table service
// stores it.
package lavpin
