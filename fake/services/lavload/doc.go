// Package lavload sends a limited, seeded mix of requests and checks every answer.
package lavload
