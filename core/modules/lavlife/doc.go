// Package lavlife starts and ends the parts of a process.
package lavlife
