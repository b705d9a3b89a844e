// Package lavsnapshot serves what this host has read from the store to other entry hosts, and fetches it from them.
package lavsnapshot
