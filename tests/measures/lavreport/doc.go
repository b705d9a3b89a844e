// Package lavreport defines the rows of measurements and prints them as a table.
package lavreport
