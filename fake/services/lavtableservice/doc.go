// Package lavtableservice is an in-memory table service with the protocol of the platform.
package lavtableservice
