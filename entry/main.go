// Command lavenderswitch-entry answers callers and operators and sends work to side processes.
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
