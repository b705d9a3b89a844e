// Package lavrate connects plans and evidence to the rating service.
package lavrate
