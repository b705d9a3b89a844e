// Package lavlog creates structured loggers and defines their common fields.
package lavlog
