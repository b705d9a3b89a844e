// Package lavexposure measures how many bad answers a version that turns bad serves until it is stopped.
package lavexposure
