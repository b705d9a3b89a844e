// Package lavkey compares API keys with stored hashes in constant time.
package lavkey
