// Package lavholder queries other side processes for the phase of the attempts that ledger rows name.
package lavholder
