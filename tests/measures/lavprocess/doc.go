// Package lavprocess starts the programs on loopback for measurements and reads what they use.
package lavprocess
