package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/consul"
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
	settingsName         = "settings"
	logLevelName         = "log-level"
	adminName            = "admin"
	serviceName          = "service"
	sourceName           = "source"
	protocolName         = "protocol"
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
		Name:      outputName,
		Usage:     "print as `FORMAT`, text or json",
		Value:     outputText,
		Validator: oneOf(outputText, outputJSON),
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: settingsName, Usage: "read the settings from `FILE`", Required: true}
}

// logLevels are the levels that --log-level takes.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func logLevelFlag() cli.Flag {
	return &cli.StringFlag{
		Name:      logLevelName,
		Usage:     "write log lines of `LEVEL` and above: debug, info, warn or error",
		Value:     "info",
		Validator: oneOf("debug", "info", "warn", "error"),
	}
}

func addressFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Usage: usage, Required: true,
		Validator: func(address string) error {
			_, err := netip.ParseAddrPort(address)
			return err
		},
	}
}

// oneOf returns a validator that takes the given values.
func oneOf(values ...string) func(string) error {
	return func(value string) error {
		if slices.Contains(values, value) {
			return nil
		}
		return errors.Newf("want one of %s, not %q", strings.Join(values, ", "), value)
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
	return publisher.New(consul.New(c.String(platformName)), c.String(authorName))
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
