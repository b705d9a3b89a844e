// Package lavweight is a stand-in of the platform's weight store. It limits the rate at which loads start.
package lavweight
