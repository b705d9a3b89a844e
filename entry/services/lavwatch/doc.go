// Package lavwatch keeps an entry host's configuration, backend servers, cutovers and host list up to date with the
// store.
package lavwatch
