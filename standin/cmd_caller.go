package main

import (
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/standin/requester"
)

func cmdCaller() *cli.Command {
	return daemonCommand("caller", "send long-lived and short requests", requester.New)
}
