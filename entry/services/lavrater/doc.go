// Package lavrater plans requests on the evidence about versions and adds evidence from the rating service.
package lavrater
