// Package lavoperator serves operators: configuration, patches and the state dump.
package lavoperator
