// Package lavadmission decides at the side process whether an attempt may be dispatched to its backend server.
package lavadmission
