package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/publisher"
)

// Names of the flags that several commands have.
const (
	folderName           = "folder"
	platformName         = "platform"
	outputName           = "output"
	authorName           = "author"
	basedOnName          = "based-on"
	allowLargeChangeName = "allow-large-change"
)

const (
	outputText = "text"
	outputJSON = "json"
)

func folderFlag() cli.Flag {
	return &cli.StringFlag{Name: folderName, Usage: "read the operators' files from `DIR`", Required: true}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: platformName, Usage: "reach the platform's API at `URL`", Required: true}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: authorName, Usage: "name `AUTHOR` in the history", Value: defaultAuthor()}
}

func basedOnFlag() cli.Flag {
	return &cli.Uint64Flag{Name: basedOnName, Usage: "refuse the change unless `REV` is the accepted revision"}
}

func allowLargeChangeFlag() cli.Flag {
	return &cli.BoolFlag{Name: allowLargeChangeName, Usage: "take out more than half of a service's targets, or the last one"}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  outputName,
		Usage: "print as `FORMAT`, text or json",
		Value: outputText,
		Validator: func(format string) error {
			if format != outputText && format != outputJSON {
				return errors.Newf("want text or json, not %q", format)
			}
			return nil
		},
	}
}

// usageError gives a wrong flag its exit code.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &codedError{code: exitUsage, cause: err}
}

func defaultAuthor() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	user := os.Getenv("USER")
	if user == "" {
		user = "unknown"
	}
	return user + "@" + host
}

func newPublisher(c *cli.Command) *publisher.Publisher {
	return publisher.New(platform.New(c.String(platformName)), c.String(authorName))
}

func proposalOf(c *cli.Command) publisher.Proposal {
	return publisher.Proposal{
		CheckBase:        c.IsSet(basedOnName),
		BasedOn:          c.Uint64(basedOnName),
		AllowLargeChange: c.Bool(allowLargeChangeName),
	}
}

// output prints a result in the wanted format.
func output(c *cli.Command, result fmt.Stringer) error {
	if c.String(outputName) == outputText {
		_, err := fmt.Fprint(c.Root().Writer, result)
		return errors.Wrap(err, "printing the result")
	}
	err := json.NewEncoder(c.Root().Writer).Encode(result)
	return errors.Wrap(err, "printing the result")
}
