// Package lavlosses sums up from the logs of entry hosts which requests were late, failed or refused, and where their time went.
package lavlosses
