// Package lavspread keeps every process on the highest configuration number and carries new numbers between processes.
package lavspread
