package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
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
the users' platform ('balance') answer at their metrics address. For these, more
lines show their view of the targets and availability zones.

Example:
   trefoilspring status --admin 127.0.0.1:9102,127.0.0.1:9106 --output json

Exit codes: 0 each balancer is ready and all have the same revision in force,
1 something else, 2 usage.`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: adminFlagName, Usage: "ask the balancers with the admin addresses `ADDR[,ADDR...]`", Required: true,
			},
			outputFlag(),
		},
		OnUsageError: usageError,
		Action:       status,
	}
}

// fleetStatus is what status prints.
type fleetStatus struct {
	Balancers []balancerStatus `json:"balancers"`
	// Refused and Dropped count packets by reason, added up over all balancers.
	Refused map[string]int64 `json:"refused"`
	Dropped map[string]int64 `json:"dropped"`
}

// balancerStatus is the status of one balancer, or the error of querying it.
type balancerStatus struct {
	Admin  string           `json:"admin"`
	Status explainer.Status `json:"status"`
	// Fault is the error of querying the balancer; it is empty if it answered.
	Fault string `json:"fault,omitempty"`

	counters map[string]jsontext.Value
}

func status(ctx context.Context, c *cli.Command) error {
	f := queryFleet(ctx, c.StringSlice(adminFlagName))
	if err := printResult(c, f); err != nil {
		return err
	}
	return f.checkHealth()
}

// queryFleet queries all balancers concurrently. A balancer that can't be queried
// has its Fault set.
func queryFleet(ctx context.Context, admins []string) fleetStatus {
	f := fleetStatus{Balancers: make([]balancerStatus, len(admins))}
	var group errgroup.Group
	for i, admin := range admins {
		group.Go(func() error {
			f.Balancers[i] = queryBalancer(ctx, admin)
			return nil
		})
	}
	_ = group.Wait()
	f.Refused = f.sumCounters("refused-")
	f.Dropped = f.sumCounters("dropped-")
	return f
}

// queryBalancer reads the status and the counters of one balancer.
func queryBalancer(ctx context.Context, admin string) balancerStatus {
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

// sumCounters adds up the counters whose names start with prefix over all
// balancers. The keys of the result are the names without the prefix; counters
// that are 0 are left out.
func (f fleetStatus) sumCounters(prefix string) map[string]int64 {
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

// checkHealth returns an error if a balancer didn't answer or isn't ready, or if
// the balancers have different revisions in force.
func (f fleetStatus) checkHealth() error {
	revisions := make(map[uint64]bool)
	for _, b := range f.Balancers {
		if b.Fault != "" {
			return errors.Newf("%s; next: see whether the balancer's process runs", b.Fault)
		}
		if b.Status.State != "ready" {
			return errors.Newf("balancer %s is %s; next: see its log for the cause", b.Status.Name, b.Status.State)
		}
		revisions[b.Status.ActiveRevision] = true
	}
	if len(revisions) > 1 {
		return errors.Newf("%d revisions are in force; next: ask again in a few seconds", len(revisions))
	}
	return nil
}

// String returns a table with a line for each balancer, followed by the views of
// the balancers and the counters of the fleet.
func (f fleetStatus) String() string {
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BALANCER\tZONE\tSTATE\tREVISION\tPREPARED\tMEMBERS\tSUSPECT\tTRACKED\tRECORDS")
	for _, row := range f.Balancers {
		fmt.Fprintln(table, row.tableRow())
	}
	// Writing to a strings.Builder never fails.
	_ = table.Flush()
	for _, row := range f.Balancers {
		writeViewState(&b, row.Status)
	}
	writeCounts(&b, "refused", f.Refused)
	writeCounts(&b, "dropped", f.Dropped)
	return b.String()
}

// tableRow returns the columns of one balancer, separated by tabs.
func (b balancerStatus) tableRow() string {
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
		s.Name, s.AvailabilityZone, s.State, s.ActiveRevision, s.PreparedRevision, len(s.Members)+1, suspects, s.TrackedBuckets, s.Records)
}

// writeViewState writes the view of a balancer on the users' platform: its source
// and age, and the targets, zones and services that are not in normal use.
func writeViewState(b *strings.Builder, s explainer.Status) {
	v := s.View
	if v == nil {
		return
	}
	fmt.Fprintf(b, "%s: view from %s, %d ms old, %d targets\n", s.Name, v.Source, v.AgeMs, v.Targets)
	for _, list := range []struct {
		title string
		names []string
	}{{"unreachable targets", v.UnreachableTargets}, {"suspect zones", v.SuspectZones}, {"zones out", v.ZonesOut}, {"crowded services", v.CrowdedServices}, {"slow targets", v.SlowTargets}, {"services that turn flows away", v.LimitedServices}} {
		if len(list.names) > 0 {
			fmt.Fprintf(b, "%s: %s: %s\n", s.Name, list.title, strings.Join(list.names, ", "))
		}
	}
	for _, spread := range v.Spreads {
		fmt.Fprintf(b, "%s: service %s in %s: demand %s, %.1f slots, part %s of new flows\n",
			s.Name, spread.Service, spread.AvailabilityZone, optionalNumber(spread.Demand, 1), spread.Slots, optionalNumber(spread.Part, 2))
	}
}

// optionalNumber formats a number that may be unknown.
func optionalNumber(n *float64, decimals int) string {
	if n == nil {
		return "unknown"
	}
	return strconv.FormatFloat(*n, 'f', decimals, 64)
}

// writeCounts writes the counts by reason, in the order of the reasons.
func writeCounts(b *strings.Builder, title string, counts map[string]int64) {
	if len(counts) == 0 {
		fmt.Fprintf(b, "%s: none\n", title)
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "%s %s: %d\n", title, reason, counts[reason])
	}
}
