// Command lavenderswitch-side runs beside one backend server and admits, dispatches and buffers its work.
package main

import (
	"context"
	"os"

	lavcmd "lavenderswitch/side/cmd"
)

var version = "development"

func main() {
	os.Exit(lavcmd.Main(context.Background(), os.Args, version))
}
