// Package lavrelay carries TCP connections between two loopback addresses and cuts, holds or silences them on request.
package lavrelay
