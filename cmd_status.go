package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/explainer"
)

func cmdStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a fleet of balancers at a glance",
		Description: `Shows for each balancer its state, revision, members, tracked buckets and
records, and for the fleet its refusals and drops by reason. Balancers that run on
the users' platform ('balance') answer at their metrics address, and say in more
lines what they believe.

Example:
   trefoilspring status --admin 127.0.0.1:9102,127.0.0.1:9106 --output json

Exit codes: 0 each balancer is ready and all have the same revision in force,
1 something else, 2 usage.`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: adminName, Usage: "ask the balancers with the admin addresses `ADDR[,ADDR...]`", Required: true,
			},
			outputFlag(),
		},
		OnUsageError: usageError,
		Action:       status,
	}
}

// fleet is the outcome of status.
type fleet struct {
	Balancers []balancerStatus `json:"balancers"`
	// Refused and Dropped count packets by reason, over all balancers.
	Refused map[string]int64 `json:"refused"`
	Dropped map[string]int64 `json:"dropped"`
}

// balancerStatus is one balancer of a fleet.
type balancerStatus struct {
	Admin  string           `json:"admin"`
	Status explainer.Status `json:"status"`
	// Fault says why the balancer could not be asked; it is empty otherwise.
	Fault string `json:"fault,omitempty"`

	counters map[string]jsontext.Value
}

func status(ctx context.Context, c *cli.Command) error {
	f := askFleet(ctx, c.StringSlice(adminName))
	if err := output(c, f); err != nil {
		return err
	}
	return f.verdict()
}

// askFleet asks all balancers at once.
func askFleet(ctx context.Context, admins []string) fleet {
	f := fleet{Balancers: make([]balancerStatus, len(admins))}
	var group errgroup.Group
	for i, admin := range admins {
		group.Go(func() error {
			f.Balancers[i] = askBalancer(ctx, admin)
			return nil
		})
	}
	_ = group.Wait()
	f.Refused = f.sum("refused-")
	f.Dropped = f.sum("dropped-")
	return f
}

func askBalancer(ctx context.Context, admin string) balancerStatus {
	b := balancerStatus{Admin: admin}
	err := fetchAdmin(ctx, admin, explainer.StatusPath, &b.Status)
	if err == nil {
		err = fetchAdmin(ctx, admin, explainer.CountersPath, &b.counters)
	}
	if err != nil {
		b.Fault = err.Error()
	}
	return b
}

// sum adds the counters with that prefix up, by what follows it; it leaves out
// those that are 0.
func (f fleet) sum(prefix string) map[string]int64 {
	total := make(map[string]int64)
	for _, b := range f.Balancers {
		for name, value := range b.counters {
			reason, found := strings.CutPrefix(name, prefix)
			var count int64
			if found && json.Unmarshal(value, &count) == nil && count != 0 {
				total[reason] += count
			}
		}
	}
	return total
}

// verdict returns an error that says what is wrong with the fleet, if anything.
func (f fleet) verdict() error {
	revisions := make(map[uint64]bool)
	for _, b := range f.Balancers {
		if b.Fault != "" {
			return errors.Newf("%s; next: see whether the balancer's process runs", b.Fault)
		}
		if b.Status.State != "ready" {
			return errors.Newf("balancer %s is %s; next: see its log for the cause", b.Status.Name, b.Status.State)
		}
		revisions[b.Status.Active] = true
	}
	if len(revisions) > 1 {
		return errors.Newf("%d revisions are in force; next: ask again in a few seconds", len(revisions))
	}
	return nil
}

// String lays the fleet out as a table.
func (f fleet) String() string {
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BALANCER\tZONE\tSTATE\tREVISION\tPREPARED\tMEMBERS\tSUSPECT\tTRACKED\tRECORDS")
	for _, row := range f.Balancers {
		fmt.Fprintln(table, row.text())
	}
	// A strings.Builder takes every write.
	_ = table.Flush()
	for _, row := range f.Balancers {
		writeView(&b, row.Status)
	}
	writeCounts(&b, "refused", f.Refused)
	writeCounts(&b, "dropped", f.Dropped)
	return b.String()
}

func (b balancerStatus) text() string {
	if b.Fault != "" {
		return b.Admin + "\t-\tno answer"
	}
	s := b.Status
	suspects := 0
	for _, m := range s.Members {
		if m.Suspect {
			suspects++
		}
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d",
		s.Name, s.AvailabilityZone, s.State, s.Active, s.Prepared, len(s.Members)+1, suspects, s.TrackedBuckets, s.Records)
}

// writeView says what a balancer on the users' platform believes.
func writeView(b *strings.Builder, s explainer.Status) {
	v := s.View
	if v == nil {
		return
	}
	fmt.Fprintf(b, "%s: view from %s, %d ms old, %d targets\n", s.Name, v.Source, v.AgeMs, v.Targets)
	for _, list := range []struct {
		title string
		names []string
	}{{"unreachable targets", v.Unreachable}, {"suspect zones", v.SuspectZones}, {"zones out", v.ZonesOut}, {"crowded services", v.Crowded}} {
		if len(list.names) > 0 {
			fmt.Fprintf(b, "%s: %s: %s\n", s.Name, list.title, strings.Join(list.names, ", "))
		}
	}
}

func writeCounts(b *strings.Builder, title string, counts map[string]int64) {
	if len(counts) == 0 {
		fmt.Fprintf(b, "%s: none\n", title)
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "%s %s: %d\n", title, reason, counts[reason])
	}
}
