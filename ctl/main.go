// Command lavenderctl reads and changes the configuration and shows the state of the fleet.
package main

import (
	"context"
	"os"

	lavcmd "lavenderswitch/ctl/cmd"
)

var version = "development"

func main() {
	os.Exit(lavcmd.Main(context.Background(), os.Args, version))
}
