// Package lavweight is a stand-in for the platform's weight store. It limits the rate at which loads of
// weights start.
package lavweight
