// Package lavplacement computes which versions each backend server should hold.
//
// Assign is a pure function of the configuration and the live servers: every side process computes the assignment
// of its server, and every entry host the same assignments of all servers. Next turns the difference between an
// assignment and a server's state into one order at a time. An order may need a slot in the table service, and a
// version is not unloaded from its last warm servers. Decide returns how to handle a request whose version has no
// server with capacity.
package lavplacement
