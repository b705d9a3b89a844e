// Package lavspread stores accepted configurations, keeps every process on the highest configuration number, and
// distributes new numbers between hosts.
package lavspread
