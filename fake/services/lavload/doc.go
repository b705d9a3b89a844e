// Package lavload sends a bounded, seeded mix of requests and checks every answer.
package lavload
