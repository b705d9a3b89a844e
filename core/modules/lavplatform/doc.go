// Package lavplatform is the client of the platform: table service, object store, host list and rating service.
//
// The protocol is HTTP with JSON and is written down in docs/PLATFORM.md.
package lavplatform
