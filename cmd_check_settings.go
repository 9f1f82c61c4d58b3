package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/server"
)

func cmdCheckSettings() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a balancer's settings file and certificate, without binding anything",
		Description: `Example:
   trefoilspring check-settings --settings balancer.json && systemctl restart trefoilspring

` + serveExitHelp,
		Flags:        []cli.Flag{settingsFlag(), outputFlag()},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return withExitCode(checkSettings(c))
		},
	}
}

// checkedSettings is the outcome of check-settings.
type checkedSettings struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	Peers            int    `json:"peers"`
}

// String says the outcome in words.
func (r checkedSettings) String() string {
	return fmt.Sprintf("good: balancer %s in availability zone %s, peers: %d\n", r.Name, r.AvailabilityZone, r.Peers)
}

func checkSettings(c *cli.Command) error {
	settings, err := server.LoadSettings(c.String(settingsName))
	if err != nil {
		return err
	}
	if _, err := peer.LoadIdentity(settings.TLS); err != nil {
		return &codedError{code: exitUsage, cause: err}
	}
	return output(c, checkedSettings{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Peers:            len(settings.Peers),
	})
}
