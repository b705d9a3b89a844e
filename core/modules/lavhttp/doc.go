// Package lavhttp runs HTTP listeners with limits and a graceful end, and writes JSON replies.
package lavhttp
