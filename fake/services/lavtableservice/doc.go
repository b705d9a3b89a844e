// Package lavtableservice is an in-memory table service and host list with the platform's protocol.
package lavtableservice
