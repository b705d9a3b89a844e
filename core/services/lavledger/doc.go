// Package lavledger runs each call that is not idempotent at most once.
//
// One row of the table service for each (client account, request id) records which attempt may dispatch the call and,
// once the call has finished, its answer.
package lavledger
