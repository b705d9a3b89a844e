// Package lavledger makes a call that may not be repeated run at most once.
//
// One row of the table service for each (client account, request id) says who
// may dispatch the call and, afterwards, what came of it.
package lavledger
