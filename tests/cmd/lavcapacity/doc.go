// Command lavcapacity measures how state, messages, processor time and memory grow with the size of the fleet. It prints
// the measured points and a linear fit for each quantity.
package main
