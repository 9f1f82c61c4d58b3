package faults_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The numbers of balancers of a session.
const (
	standard = 6
	many     = 13
)

// A balancer is killed in the middle of a revision change: the others go on with
// the change, and flows that opened before and during it keep their targets.
func TestKillDuringChange(t *testing.T) {
	t.Parallel()
	d := deploy(t, standard)
	at := d.drainTarget("bd-02")
	d.signal("lb-ne-b-1", syscall.SIGKILL)
	d.awaitRevision(2, inForce, d.others("lb-ne-b-1")...)
	t.Logf("in force after %s", time.Since(at))
	d.awaitBalancersIn(standard - 1)
	d.finish()
}

// A balancer is frozen while a target drains: it must not decide by its earlier
// table when it goes on.
func TestFreezeDuringChange(t *testing.T) {
	t.Parallel()
	const freeze = 10 * time.Second
	d := deploy(t, standard)
	d.drainTarget("bd-01")
	d.awaitRevision(2, inForce, d.balancers...)
	d.signal("lb-ne-c-1", syscall.SIGSTOP)
	frozen := time.Now()
	at := d.drainTarget("bd-02")
	d.awaitRevision(3, inForce, d.others("lb-ne-c-1")...)
	t.Logf("in force after %s", time.Since(at))
	time.Sleep(freeze - time.Since(frozen))
	d.signal("lb-ne-c-1", syscall.SIGCONT)
	t.Logf("decides again after %s", d.awaitRevision(3, readyTime, "lb-ne-c-1"))
	d.awaitBalancersIn(standard)
	d.finish()
}

// A balancer joins while the platform is down and takes the document from its
// peers; the platform then comes back with an earlier record, which changes nothing.
func TestJoinDuringOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, standard)
	d.platformSwitch("save=on")
	d.drainTarget("bd-02")
	d.awaitRevision(2, inForce, d.balancers...)
	d.platformSwitch("outage=on")
	d.signal("lb-ne-a-2", syscall.SIGKILL)
	is.True(d.processes["balancer-lb-ne-a-2"].end(stopMargin) != nil)
	d.startBalancer("lb-ne-a-2")
	t.Logf("ready after %s", d.awaitRevision(2, readyTime, "lb-ne-a-2"))
	d.platformSwitch("restore=on&outage=off")
	d.awaitLog("earlier revision ignored", d.balancers...)
	d.awaitRevision(2, inForce, d.balancers...)
	d.awaitBalancersIn(standard)
	d.finish()
}

// A zone is taken out while two balancers can't reach the platform: they learn it
// from their peers in time.
func TestZoneOutBeyondPlatform(t *testing.T) {
	t.Parallel()
	cut := []string{"lb-ne-a-1", "lb-ne-c-2"}
	d := deploy(t, standard, cut...)
	at := d.takeOut("ne-b")
	d.awaitRevision(2, inForce, d.balancers...)
	t.Logf("in force after %s", time.Since(at))
	d.awaitLog("platform fails", cut[0])
	d.finish()
}

// The fabric loses all packets to one balancer that still says that it is ready.
func TestFabricCut(t *testing.T) {
	t.Parallel()
	d := deploy(t, standard)
	d.drainTarget("bd-02")
	d.awaitRevision(2, inForce, d.balancers...)
	d.fabric("/cut?balancer=lb-ne-a-1")
	d.drainTarget("bd-03")
	d.awaitRevision(3, inForce, d.balancers...)
	d.awaitCut(200)
	d.fabric("/heal?balancer=lb-ne-a-1")
	d.awaitBalancersIn(standard)
	d.finish()
}

// All balancers are replaced, one after the other, after a change.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, standard)
	d.drainTarget("bd-02")
	d.awaitRevision(2, inForce, d.balancers...)
	for _, name := range d.balancers {
		d.signal(name, syscall.SIGTERM)
		began := time.Now()
		d.check(d.processes["balancer-"+name].end(drain + stopMargin))
		ended := time.Since(began)
		d.startBalancer(name)
		ready := d.awaitRevision(2, readyTime, name)
		d.awaitBalancersIn(standard)
		t.Logf("%s ended after %s, ready after %s", name, ended, ready)
	}
	d.finish()
}

// All balancers of a zone are killed and started again while the platform is down.
func TestZoneKilledDuringOutage(t *testing.T) {
	t.Parallel()
	zone := []string{"lb-ne-b-1", "lb-ne-b-2"}
	d := deploy(t, standard)
	d.drainTarget("bd-02")
	d.awaitRevision(2, inForce, d.balancers...)
	d.platformSwitch("outage=on")
	for _, name := range zone {
		d.signal(name, syscall.SIGKILL)
	}
	for _, name := range zone {
		<-d.processes["balancer-"+name].ended
		d.startBalancer(name)
	}
	t.Logf("ready after %s", d.awaitRevision(2, readyTime, zone...))
	d.awaitBalancersIn(standard)
	d.platformSwitch("outage=off")
	d.awaitRevision(2, inForce, d.balancers...)
	d.finish()
}

// A second signal ends a balancer at once.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := deploy(t, standard)
	d.signal("lb-ne-a-1", syscall.SIGTERM)
	d.awaitLog("draining", "lb-ne-a-1")
	d.signal("lb-ne-a-1", syscall.SIGTERM)
	if err := d.processes["balancer-lb-ne-a-1"].end(drain / 2); err == nil {
		t.Error("the balancer ended as if it had been told once")
	}
	d.finish()
}

// Many balancers, some of whose peers are dead and some frozen, end in time under
// load, all at once.
func TestEndAmongMany(t *testing.T) {
	t.Parallel()
	d := deploy(t, many)
	d.drainTarget("bd-02")
	d.awaitRevision(2, inForce, d.balancers...)
	d.signal("lb-ne-a-1", syscall.SIGKILL)
	d.signal("lb-ne-b-1", syscall.SIGKILL)
	d.signal("lb-ne-c-1", syscall.SIGSTOP)
	d.drainTarget("bd-03")
	rest := d.others("lb-ne-a-1", "lb-ne-b-1", "lb-ne-c-1")
	for _, p := range d.named(rest) {
		d.check(p.signal(syscall.SIGTERM))
	}
	for _, p := range d.named(rest) {
		if err := p.end(drain + stopMargin); err != nil {
			t.Error(err)
		}
	}
}
