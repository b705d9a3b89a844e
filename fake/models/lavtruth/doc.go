// Package lavtruth defines what the stand-ins report on GET /truth, and the format of their answers.
package lavtruth
