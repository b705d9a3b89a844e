// Package lavwire holds the generated types and services that lavenderswitch's processes exchange.
package lavwire
