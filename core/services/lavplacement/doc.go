// Package lavplacement computes which versions each backend server should hold.
//
// Assign is a pure function of the configuration and the hosts listed, so that
// every side process computes its own part and every entry host the same
// whole. Next turns the difference between an assignment and a server's state
// into one order at a time, which waits for a slot in the table service and
// never takes a version's last warm servers. Pool says what becomes of a
// request while no server of its version has room.
package lavplacement
