// Package lavfleet keeps what an entry host knows of the backend servers.
package lavfleet
