// Package lavhttp provides HTTP listeners with limits and graceful shutdown, and writes JSON responses.
package lavhttp
