// Package lavretry bounds the attempts that follow a failed one, so that retries never amplify a burst.
//
// Each client account earns a part of an attempt with every first attempt and
// spends one with every further attempt.
package lavretry
