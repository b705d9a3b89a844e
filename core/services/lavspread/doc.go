// Package lavspread stores accepted configurations, keeps every process on the highest configuration number, and
// distributes new numbers between hosts. The store, in comments of this package, is the platform's table service.
package lavspread
