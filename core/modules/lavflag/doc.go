// Package lavflag defines a flag and an environment variable for each setting of a program.
package lavflag
