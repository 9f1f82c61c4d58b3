package main

import (
	"context"
	"fmt"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"trefoilspring.example/trefoilspring/explainer"
)

func cmdExplain() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "say which target a flow would go to, and why",
		Description: `Asks one balancer and changes nothing there. If it hands the flow on, ask the
balancer that it names. One that runs on the users' platform ('balance') is asked
at its metrics address.

Example:
   trefoilspring explain --admin 127.0.0.1:9102 --service 198.51.100.10:443 --source 203.0.113.7:50123

` + serveExitHelp,
		Flags: []cli.Flag{
			addressFlag(adminFlagName, "ask the balancer with the admin address `ADDR`"),
			addressFlag(serviceFlagName, "the address `ADDR` that the caller sends to"),
			addressFlag(sourceFlagName, "the address `ADDR` of the caller"),
			&cli.StringFlag{
				Name: protocolFlagName, Usage: "the flow's `PROTOCOL`, udp or tcp; QUIC is udp", Value: "udp",
				Validator: oneOf("udp", "tcp"),
			},
			outputFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withExitCode(explain(ctx, c))
		},
	}
}

// explainResult is what explain prints.
type explainResult struct {
	explainer.Explanation
}

// String returns the explanation as text.
func (e explainResult) String() string {
	var b strings.Builder
	service := e.Service
	if service == "" {
		service = "none"
	}
	fmt.Fprintf(&b, "balancer     %s, revision %d\n", e.Balancer, e.ActiveRevision)
	if e.NoBuckets {
		fmt.Fprintf(&b, "service      %s\n", service)
	} else {
		fmt.Fprintf(&b, "service      %s, bucket %d\n", service, e.Bucket)
	}
	if e.Tracked {
		fmt.Fprintf(&b, "tracked      base target %s, current target %s, resolver %s\n", e.BaseTarget, e.CurrentTarget, e.Resolver)
	}
	if e.Zone != "" {
		fmt.Fprintf(&b, "zone         %s\n", e.Zone)
	}
	if e.NoBuckets && e.Service != "" {
		fmt.Fprintf(&b, "admission    %s\n", admissionText(e.Admission))
	}
	if e.Cold != nil {
		fmt.Fprintf(&b, "cold         %s\n", coldText(*e.Cold, e.Opening.Target))
	}
	fmt.Fprintf(&b, "opening      %s\n", outcomeText(e.Opening))
	if e.Speed > 0 && e.Speed < 1 {
		fmt.Fprintf(&b, "speed        %.2f, new flows are fewer by this factor\n", e.Speed)
	}
	fmt.Fprintf(&b, "established  %s\n", outcomeText(e.Established))
	return b.String()
}

// admissionText returns how the flow competes for the room of its service.
func admissionText(a *explainer.Admission) string {
	if a == nil {
		return "the load of the service isn't known, so no flow is turned away"
	}
	limit := "no flow of the service is turned away"
	if a.Limited {
		limit = "some flows of the service are turned away"
	}
	return fmt.Sprintf("urgency %d, %.0f%% of new flows admitted, %.0f%% of this caller's; %s; %.1f requests wait (bound %.1f), this urgency wants %.1f of room for %.1f",
		a.Urgency, 100*a.Fraction, 100*a.CallerFraction, limit, a.Waiting, a.Bound, a.Wanted, a.Room)
}

// coldText returns what the limits of cold targets do to the flow.
func coldText(c explainer.ColdLimits, target string) string {
	rate := "any number of new flows"
	switch {
	case c.Rate > 0 && c.Balancers > 0:
		rate = fmt.Sprintf("%.1f new flows a second from %d balancers together", c.Rate, c.Balancers)
	case c.Rate > 0:
		rate = fmt.Sprintf("%.1f new flows a second, and none from here while the number of balancers isn't known", c.Rate)
	}
	switch {
	case c.Target:
		target += " is cold"
	case target != "":
		target += " isn't cold"
	default:
		target = "no target accepts the flow"
	}
	return fmt.Sprintf("%s; %d cold targets passed over at their limit; each gets %s", target, c.Passed, rate)
}

// outcomeText returns what the balancer does with a packet, where it sends the
// packet, and why.
func outcomeText(o explainer.Outcome) string {
	switch {
	case o.Target != "":
		return fmt.Sprintf("%s to %s at %s: %s", o.Action, o.Target, o.Address, o.Why)
	case o.Member != "":
		return fmt.Sprintf("%s to the balancer %s: %s", o.Action, o.Member, o.Why)
	default:
		return fmt.Sprintf("%s (%s): %s", o.Action, o.Reason, o.Why)
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	query := url.Values{}
	for _, name := range []string{serviceFlagName, sourceFlagName, protocolFlagName} {
		query.Set(name, c.String(name))
	}
	var e explainResult
	if err := fetchAdmin(ctx, c.String(adminFlagName), explainer.FlowPath+"?"+query.Encode(), &e.Explanation); err != nil {
		return err
	}
	return printResult(c, e)
}
