// Command lavcapacity measures how state, messages, processor time and memory grow, and prints the points and their fits.
package main
