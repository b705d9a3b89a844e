// Command lavenderfake runs stand-ins for the platform and for backend servers in tests and demos.
package main

import (
	"context"
	"os"

	lavcmd "lavenderswitch/fake/cmd"
)

var version = "development"

func main() {
	os.Exit(lavcmd.Main(context.Background(), os.Args, version))
}
