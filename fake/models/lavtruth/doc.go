// Package lavtruth holds what the stand-ins report on GET /truth and the form of their answers.
package lavtruth
