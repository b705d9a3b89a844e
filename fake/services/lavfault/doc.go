// Package lavfault applies faults to the calls of a stand-in and holds calls at named steps.
package lavfault
