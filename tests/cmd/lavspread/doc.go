// Command lavspread measures how fast a configuration propagates over hosts on the loopback interface, and at what cost.
package main
