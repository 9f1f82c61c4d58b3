package main

import (
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/router"
)

func cmdFabric() *cli.Command {
	return daemonCommand("fabric", "spray the packets of callers over the balancers", router.New)
}
