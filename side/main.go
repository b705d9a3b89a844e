// Command lavenderswitch-side runs beside one backend server. It admits, dispatches and buffers the attempts for it.
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
