package lavcmd

import (
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavchange"
)

func serverCommand() *cli.Command {
	return servingCommand("server", "backend server", "BACKEND-SERVER", func(document *lavconfig.Document, id string, state lavconfig.ServingState) ([]lavchange.Operation, error) {
		return lavchange.SetServer(document, lavid.BackendServerID(id), state)
	})
}
