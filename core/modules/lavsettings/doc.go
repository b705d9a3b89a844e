// Package lavsettings reads a process's settings from a JSON file and lists every fault at once.
package lavsettings
