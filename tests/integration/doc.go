// Package lavintegration tests the whole request path on separate processes without faults.
package lavintegration
