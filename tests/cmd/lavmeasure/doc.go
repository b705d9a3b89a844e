// Package main runs the measurements and prints one table of all their rows.
package main
