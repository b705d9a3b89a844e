// Package lavbackend speaks to the backend server beside this process.
package lavbackend
