// Package lavnotice keeps what backend servers state in their answers about new work: that they leave, or that a host is to
// send nothing for a while. Hosts tell each other, so that most learn of it before they ask the server themselves.
package lavnotice
