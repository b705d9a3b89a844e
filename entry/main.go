// Command lavenderswitch-entry accepts requests of callers and operators and forwards them to side processes.
package main

import (
	"context"
	"os"

	lavcmd "lavenderswitch/entry/cmd"
)

var version = "development"

func main() {
	os.Exit(lavcmd.Main(context.Background(), os.Args, version))
}
