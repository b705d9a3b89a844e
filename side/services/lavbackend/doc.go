// Package lavbackend is the client of the backend server beside this process.
package lavbackend
