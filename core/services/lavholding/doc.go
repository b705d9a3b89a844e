// Package lavholding tells which engines have read which beginnings of prompts, from the sends of all hosts.
package lavholding
