// Package lavrater chooses the plans of requests from the evidence on versions, and adds evidence from the rating
// service.
package lavrater
