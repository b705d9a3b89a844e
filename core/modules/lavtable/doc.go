// Package lavtable provides a generic concurrent table of rows by id.
package lavtable
