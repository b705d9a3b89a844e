//go:build tools

// Package lavtools pins the generators whose modules cannot be installed by version.
package lavtools

import (
	_ "github.com/twitchtv/twirp/protoc-gen-twirp" // the twirp generator is built from this module
)
