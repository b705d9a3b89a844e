// Package lavexposure measures how many bad answers a faulty version serves until it is stopped.
package lavexposure
