// Package lavholder asks other side processes what became of the attempts that ledger rows name.
package lavholder
