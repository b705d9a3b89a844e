// Package lavtableservice is a stand-in of the platform's table service, in memory.
package lavtableservice
