// Package lavtableservice is a stand-in for the platform's table service, in memory.
package lavtableservice
