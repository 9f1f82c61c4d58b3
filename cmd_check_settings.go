package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/server"
)

func cmdCheckSettings() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a balancer's settings file and certificate, without binding anything",
		Description: `With --for balance, the file is the one that the users' platform writes.

Example:
   trefoilspring check-settings --settings balancer.json && systemctl restart trefoilspring

` + serveExitHelp,
		Flags: []cli.Flag{settingsFlag(), outputFlag(), &cli.StringFlag{
			Name: "for", Usage: "the `COMMAND` that reads the file, serve or balance", Value: "serve",
			Validator: oneOf("serve", "balance"),
		}},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.String("for") == "balance" {
				return withExitCode(checkPlatformSettings(c))
			}
			return withExitCode(checkSettings(c))
		},
	}
}

// settingsResult is what check-settings prints for the settings of serve.
type settingsResult struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	Peers            int    `json:"peers"`
}

// String returns the result as text.
func (r settingsResult) String() string {
	return fmt.Sprintf("good: balancer %s in availability zone %s, peers: %d\n", r.Name, r.AvailabilityZone, r.Peers)
}

func checkSettings(c *cli.Command) error {
	settings, err := server.LoadSettings(c.String(settingsFlagName))
	if err != nil {
		return err
	}
	if _, err := peer.LoadIdentity(settings.TLS); err != nil {
		return &codedError{code: exitUsage, cause: err}
	}
	return printResult(c, settingsResult{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Peers:            len(settings.Peers),
	})
}

// platformSettingsResult is what check-settings prints for the settings of
// balance, which the users' platform writes.
type platformSettingsResult struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	DataAddress      string `json:"data-address"`
	StoreAddress     string `json:"store-address"`
	// Strength is the VM's capacity for reading the store on behalf of other
	// balancers, from 0 to 2. It depends on the VM's link and processor.
	Strength int `json:"strength"`
}

// String returns the result as text.
func (r platformSettingsResult) String() string {
	return fmt.Sprintf("good: balancer %s in availability zone %s, packets at %s, store at %s, strength as a reader: %d\n",
		r.Name, r.AvailabilityZone, r.DataAddress, r.StoreAddress, r.Strength)
}

func checkPlatformSettings(c *cli.Command) error {
	settings, err := platform.LoadSettings(c.String(settingsFlagName))
	if err != nil {
		return err
	}
	b := settings.Balancer()
	return printResult(c, platformSettingsResult{
		Name:             b.Name,
		AvailabilityZone: b.AvailabilityZone,
		DataAddress:      b.DataAddress.String(),
		StoreAddress:     settings.StoreAddress(),
		Strength:         follower.StrengthOf(b.LinkMbps, b.Cores),
	})
}
