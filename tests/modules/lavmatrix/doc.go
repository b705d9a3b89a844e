// Package lavmatrix defines the fault matrix: its steps, its faults, and the checks that run on every combination.
package lavmatrix
