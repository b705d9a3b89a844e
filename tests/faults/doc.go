// Package lavfaults runs the fault matrix on fleets of separate processes.
package lavfaults
