// Package lavadmin serves the state dump and the metrics of a side process to operators.
package lavadmin
