package main

import (
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/responder"
)

func cmdTarget() *cli.Command {
	return daemonCommand("target", "answer the requests of a service", responder.New)
}
