// Command lavenderswitch-entry accepts requests of callers and operators and forwards them to side processes.
package main

import (
	"context"
	"os"

	lavcmd "lavenderswitch/entry/cmd"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(lavcmd.Main(context.Background(), os.Args, version))
}
