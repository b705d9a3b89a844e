// Package lavserver holds what a backend server says of itself.
package lavserver
