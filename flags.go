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

// Names of flags. The explain command also uses those of the service, source and
// protocol as the parameters of its request.
const (
	folderFlagName           = "folder"
	platformFlagName         = "platform"
	outputFlagName           = "output"
	authorFlagName           = "author"
	basedOnFlagName          = "based-on"
	allowLargeChangeFlagName = "allow-large-change"
	settingsFlagName         = "settings"
	logLevelFlagName         = "log-level"
	adminFlagName            = "admin"
	serviceFlagName          = "service"
	sourceFlagName           = "source"
	protocolFlagName         = "protocol"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func folderFlag() cli.Flag {
	return &cli.StringFlag{Name: folderFlagName, Usage: "read the operators' files from `DIR`", Required: true}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: platformFlagName, Usage: "reach the platform's API at `URL`", Required: true}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: authorFlagName, Usage: "name `AUTHOR` in the history", Value: defaultAuthor()}
}

func basedOnFlag() cli.Flag {
	return &cli.Uint64Flag{Name: basedOnFlagName, Usage: "refuse the change unless `REV` is the accepted revision"}
}

func allowLargeChangeFlag() cli.Flag {
	return &cli.BoolFlag{Name: allowLargeChangeFlagName, Usage: "take out more than half of a service's targets, or the last one"}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:      outputFlagName,
		Usage:     "print as `FORMAT`, text or json",
		Value:     outputText,
		Validator: oneOf(outputText, outputJSON),
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: settingsFlagName, Usage: "read the settings from `FILE`", Required: true}
}

// logLevels maps the values of --log-level to levels.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func logLevelFlag() cli.Flag {
	return &cli.StringFlag{
		Name:      logLevelFlagName,
		Usage:     "write log lines of `LEVEL` and above: debug, info, warn or error",
		Value:     "info",
		Validator: oneOf("debug", "info", "warn", "error"),
	}
}

// addressFlag returns a required flag that takes an IP address and port.
func addressFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Usage: usage, Required: true,
		Validator: func(address string) error {
			_, err := netip.ParseAddrPort(address)
			return err
		},
	}
}

// oneOf returns a validator that accepts only the given values.
func oneOf(values ...string) func(string) error {
	return func(value string) error {
		if slices.Contains(values, value) {
			return nil
		}
		return errors.Newf("want one of %s, not %q", strings.Join(values, ", "), value)
	}
}

// usageError gives the error of a wrong flag the exit code exitUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &codedError{code: exitUsage, cause: err}
}

// defaultAuthor returns USER@HOST, with "unknown" for a part that isn't known.
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

// newPublisher returns a publisher for the platform and author that the flags set.
func newPublisher(c *cli.Command) *publisher.Publisher {
	return publisher.New(consul.New(c.String(platformFlagName)), c.String(authorFlagName))
}

// newProposal returns a proposal with the conditions that the flags set, without a
// document.
func newProposal(c *cli.Command) publisher.Proposal {
	return publisher.Proposal{
		CheckBase:        c.IsSet(basedOnFlagName),
		BasedOn:          c.Uint64(basedOnFlagName),
		AllowLargeChange: c.Bool(allowLargeChangeFlagName),
	}
}

// printResult writes result to the command's output, as text or as JSON according
// to --output.
func printResult(c *cli.Command, result fmt.Stringer) error {
	if c.String(outputFlagName) == outputText {
		_, err := fmt.Fprint(c.Root().Writer, result)
		return errors.Wrap(err, "printing the result")
	}
	err := json.NewEncoder(c.Root().Writer).Encode(result)
	return errors.Wrap(err, "printing the result")
}
