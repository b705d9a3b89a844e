// Package lavintegration holds tests of the whole path on separate processes without faults.
package lavintegration
