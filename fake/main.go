// Command lavenderfake stands in for the platform and the backend servers in tests and the demo.
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
