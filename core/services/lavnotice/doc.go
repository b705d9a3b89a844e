// Package lavnotice keeps what backend servers state in their answers about new work: that they leave, that a host is to
// send nothing for a while, or how many requests they take from all hosts together. Hosts tell each other, so that most learn
// of it before they ask the server themselves.
package lavnotice
