// Package lavsetting holds the settings of lavenderswitch-entry.
package lavsetting
