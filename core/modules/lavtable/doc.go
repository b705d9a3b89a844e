// Package lavtable holds entities in tables that systems run over on each tick.
package lavtable
