// Package lavrestore decides which rows of the operators stay in force after the platform's store came back from a copy that lacks what
// was written last.
//
// Operators write such rows again, but some time later. Until then a withdrawn API key would be accepted again, and an evacuated data
// centre would take work.
package lavrestore
