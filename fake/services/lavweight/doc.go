// Package lavweight is a weight store that lets loads start at a limited rate.
package lavweight
