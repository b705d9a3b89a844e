// Package lavplain is a stand-in of a plain service. It counts how often each request ran.
package lavplain
