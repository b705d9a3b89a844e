// Package lavadmin serves operators: the state dump and the metrics of this process.
package lavadmin
