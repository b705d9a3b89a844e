// Package lavplain is a stand-in for a plain service. It counts how often each request ran.
package lavplain
