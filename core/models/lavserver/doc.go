// Package lavserver defines the state that a backend server reports about itself.
package lavserver
