// Package lavlimit adapts the limit of concurrent requests and tokens at one backend server to its latency.
//
// The side process calls Admit before each dispatch and reports the first token, later tokens and the end of the request
// to the returned Permit. Tick runs every TickInterval. The limit starts low and grows by half in each window while the
// latency is well below its target (slow start). Afterwards it grows in small steps, and falls in proportion to the excess
// latency. It returns to its start value at once when the server fails or answers as slowly as a cold server. A limit that
// is not used decays, because nothing shows that it still holds.
package lavlimit
