// Package lavbilling writes one bill for each request to the table service.
package lavbilling
