package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestFitReturnsInterceptAndSlopeOfALine guards against a fit that reports wrong growth per unit.
func TestFitReturnsInterceptAndSlopeOfALine(t *testing.T) {
	is := is.New(t)
	s := &series{}
	for x := range 5 {
		s.add(float64(x), 3+2*float64(x))
	}
	intercept, slope := s.fit()
	is.Equal(intercept, 3.0)
	is.Equal(slope, 2.0)
}
