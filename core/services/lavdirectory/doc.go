// Package lavdirectory decides which backend servers may take new work, from listings that can be late, partial or
// missing.
package lavdirectory
