// Package lavwatch keeps an entry host's knowledge of configuration and backend servers fresh from the platform's store.
package lavwatch
