// Package lavdrain decides until when a host that stops accepts requests, lets them wait for a backend server and answers
// them, so that its exit cuts no request that could have been answered.
package lavdrain
