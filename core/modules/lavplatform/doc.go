// Package lavplatform is a client of the platform's table service, object store, weight store, host list and rating
// service.
//
// The protocol is JSON over HTTP and is described in docs/PLATFORM.md.
package lavplatform
