// Command lavenderfake runs stand-ins of the platform and of backend servers for tests and the demo.
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
