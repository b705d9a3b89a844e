// Package lavmatrix holds the steps, the faults and the checker of the fault matrix.
package lavmatrix
