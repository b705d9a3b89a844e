// Package lavflag gives each setting of a program a flag and an environment variable.
package lavflag
