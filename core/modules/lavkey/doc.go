// Package lavkey verifies API keys against stored hashes in constant time.
package lavkey
