// Command standin plays one case of the review: balancers of the project as separate
// processes, and around them stand-ins of the users' platform, servers and clients, as
// the users' pages describe them.
//
//	standin CASE --binary target/trefoilspring --record review/N/record.txt
//
// It exits with 1 if a rule was broken, with 0 if all held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(*deployment) error{
	"pinned": runPinned,
	"watch":  runWatch,
	"routes": runRoutes,
	"cold":   runCold,
}

// maxRunTime ends a run that doesn't end by itself.
const maxRunTime = 110 * time.Second

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin pinned|watch|routes|cold --binary FILE --record FILE")
		os.Exit(2)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	binary := flags.String("binary", "target/trefoilspring", "the project's program")
	recordPath := flags.String("record", "record.txt", "the file to write the record to")
	keep := flags.String("logs", "", "a folder to keep the balancers' logs in")
	_ = flags.Parse(os.Args[2:])
	os.Exit(play(os.Args[1], *binary, *recordPath, *keep))
}

func play(name, binary, recordPath, keep string) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return fail(err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	d, err := newDeployment(recordPath, binary, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		os.RemoveAll(folder)
		return fail(err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	d.group.Go(func() {
		select {
		case <-d.ctx.Done():
			return
		case <-interrupted:
			d.record.line("interrupted")
		case <-time.After(maxRunTime):
			d.record.line("the run takes too long")
		}
		for _, b := range d.balancers {
			b.kill()
		}
		os.RemoveAll(folder)
		os.Exit(2)
	})
	err = cases[name](d)
	if keep != "" {
		_ = os.CopyFS(keep, os.DirFS(folder))
	}
	broken := d.record.count()
	d.end()
	if err != nil {
		return fail(err)
	}
	if broken > 0 {
		return 1
	}
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}

// summary records the result of a case and shows it.
func (d *deployment) summary(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	d.record.line("%s; broken rules: %d", text, d.record.count())
	fmt.Printf("%s; broken rules: %d\n", text, d.record.count())
}
