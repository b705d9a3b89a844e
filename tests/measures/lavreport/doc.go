// Package lavreport holds the rows that measurements give and prints them as one table.
package lavreport
