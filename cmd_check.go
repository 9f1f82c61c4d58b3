package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/operator"
)

func cmdCheck() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "merge a folder and check the document, without the platform",
		Description: "Example:\n  trefoilspring check --folder config\n\n" +
			exitHelp,
		Flags:        []cli.Flag{folderFlag(), outputFlag()},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return withExitCode(check(c))
		},
	}
}

// checkResult is what check prints: how many entries the document has, and its
// digest.
type checkResult struct {
	AvailabilityZones int    `json:"availability-zones"`
	Services          int    `json:"services"`
	Targets           int    `json:"targets"`
	Digest            string `json:"digest"`
}

// String returns the result as text.
func (r checkResult) String() string {
	return fmt.Sprintf("good: %d availability zones, %d services, %d targets, digest %s\n",
		r.AvailabilityZones, r.Services, r.Targets, r.Digest)
}

func check(c *cli.Command) error {
	d, err := operator.LoadFolder(c.String(folderFlagName))
	if err != nil {
		return err
	}
	digest, err := operator.Digest(d)
	if err != nil {
		return err
	}
	return printResult(c, checkResult{
		AvailabilityZones: len(d.AvailabilityZones),
		Services:          len(d.Services),
		Targets:           len(d.Targets),
		Digest:            digest,
	})
}
