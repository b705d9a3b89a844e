// Package lavsetting holds the settings of lavenderswitch-side.
package lavsetting
