// Package lavretry implements retry budgets, so that retries do not amplify a burst of failures.
//
// Each client account earns a part of a retry with every first attempt and spends one with every retry.
package lavretry
