package lavcmd

import (
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavchange"
)

func dataCentreCommand() *cli.Command {
	return servingCommand("datacentre", "data centre", "DATA-CENTRE", func(document *lavconfig.Document, id string, state lavconfig.ServingState) ([]lavchange.Operation, error) {
		return lavchange.SetDataCentre(document, lavid.DataCentreID(id), state)
	})
}
