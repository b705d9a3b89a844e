// Package lavlimit bounds the requests and tokens in progress at one backend server.
//
// The side process asks Admit before each dispatch and reports what it sees
// through the returned Permit: the first token, later tokens and the end. Tick
// runs every TickInterval. The limit starts low, grows by half while the server
// answers well within its targets, then moves by small steps, and falls by the
// measured excess. It returns to its start at once when the server answers as a
// cold one does. A limit that is not used is not trusted and shrinks.
package lavlimit
