// Package lavsettings reads a process's settings from a JSON file and reports all faults together.
package lavsettings
