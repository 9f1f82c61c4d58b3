package faults_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The numbers of balancers in the deployments.
const (
	standardBalancers = 6
	manyBalancers     = 13
)

// A balancer is killed in the middle of a revision change. The other balancers complete
// the change, and flows that opened before and during the change keep their targets.
func TestKillDuringChange(t *testing.T) {
	t.Parallel()
	d := deploy(t, standardBalancers)
	at := d.drainTarget("bd-02")
	d.signalBalancer("lb-ne-b-1", syscall.SIGKILL)
	d.awaitRevision(2, maxActivationTime, d.balancersExcept("lb-ne-b-1")...)
	t.Logf("in force after %s", time.Since(at))
	d.awaitBalancersInFabric(standardBalancers - 1)
	d.finish()
}

// A balancer is frozen while a target drains. When it runs again, it must not decide with
// the table from before the freeze.
func TestFreezeDuringChange(t *testing.T) {
	t.Parallel()
	const freeze = 10 * time.Second
	d := deploy(t, standardBalancers)
	d.drainTarget("bd-01")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.signalBalancer("lb-ne-c-1", syscall.SIGSTOP)
	frozen := time.Now()
	at := d.drainTarget("bd-02")
	d.awaitRevision(3, maxActivationTime, d.balancersExcept("lb-ne-c-1")...)
	t.Logf("in force after %s", time.Since(at))
	time.Sleep(freeze - time.Since(frozen))
	d.signalBalancer("lb-ne-c-1", syscall.SIGCONT)
	t.Logf("decides again after %s", d.awaitRevision(3, maxWait, "lb-ne-c-1"))
	d.awaitBalancersInFabric(standardBalancers)
	d.finish()
}

// A balancer joins while the platform is down, and fetches the document from its peers.
// The platform then comes back with an earlier record, which the balancers ignore.
func TestJoinDuringOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, standardBalancers)
	d.setPlatformSwitches("save=on")
	d.drainTarget("bd-02")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.setPlatformSwitches("outage=on")
	d.signalBalancer("lb-ne-a-2", syscall.SIGKILL)
	is.True(d.processes["balancer-lb-ne-a-2"].awaitSuccess(stopMargin) != nil)
	d.startBalancer("lb-ne-a-2")
	t.Logf("ready after %s", d.awaitRevision(2, maxWait, "lb-ne-a-2"))
	d.setPlatformSwitches("restore=on&outage=off")
	d.awaitLog("earlier revision ignored", d.balancers...)
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.awaitBalancersInFabric(standardBalancers)
	d.finish()
}

// An availability zone is taken out while two balancers can't reach the platform. They
// get the new revision from their peers within maxActivationTime.
func TestZoneOutWithoutPlatform(t *testing.T) {
	t.Parallel()
	isolated := []string{"lb-ne-a-1", "lb-ne-c-2"}
	d := deploy(t, standardBalancers, isolated...)
	at := d.takeZoneOut("ne-b")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	t.Logf("in force after %s", time.Since(at))
	d.awaitLog("platform fails", isolated[0])
	d.finish()
}

// The fabric drops all packets to one balancer while that balancer still reports that it
// is ready.
func TestFabricCut(t *testing.T) {
	t.Parallel()
	d := deploy(t, standardBalancers)
	d.drainTarget("bd-02")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.postFabric("/cut?balancer=lb-ne-a-1")
	d.drainTarget("bd-03")
	d.awaitRevision(3, maxActivationTime, d.balancers...)
	d.awaitPacketsCut(200)
	d.postFabric("/heal?balancer=lb-ne-a-1")
	d.awaitBalancersInFabric(standardBalancers)
	d.finish()
}

// After a change, all balancers are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, standardBalancers)
	d.drainTarget("bd-02")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	for _, name := range d.balancers {
		d.signalBalancer(name, syscall.SIGTERM)
		began := time.Now()
		d.noError(d.processes["balancer-"+name].awaitSuccess(drainTime + stopMargin))
		ended := time.Since(began)
		d.startBalancer(name)
		ready := d.awaitRevision(2, maxWait, name)
		d.awaitBalancersInFabric(standardBalancers)
		t.Logf("%s ended after %s, ready after %s", name, ended, ready)
	}
	d.finish()
}

// All balancers of an availability zone are killed and restarted while the platform is
// down.
func TestZoneKilledDuringOutage(t *testing.T) {
	t.Parallel()
	zone := []string{"lb-ne-b-1", "lb-ne-b-2"}
	d := deploy(t, standardBalancers)
	d.drainTarget("bd-02")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.setPlatformSwitches("outage=on")
	for _, name := range zone {
		d.signalBalancer(name, syscall.SIGKILL)
	}
	for _, name := range zone {
		<-d.processes["balancer-"+name].exited
		d.startBalancer(name)
	}
	t.Logf("ready after %s", d.awaitRevision(2, maxWait, zone...))
	d.awaitBalancersInFabric(standardBalancers)
	d.setPlatformSwitches("outage=off")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.finish()
}

// A second SIGTERM ends a draining balancer at once. It must not end as after a single
// SIGTERM, with exit code 0.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := deploy(t, standardBalancers)
	d.signalBalancer("lb-ne-a-1", syscall.SIGTERM)
	d.awaitLog("draining", "lb-ne-a-1")
	d.signalBalancer("lb-ne-a-1", syscall.SIGTERM)
	if err := d.processes["balancer-lb-ne-a-1"].awaitSuccess(drainTime / 2); err == nil {
		t.Error("the balancer ended with exit code 0 before the end of its drain")
	}
	d.finish()
}

// Many balancers are told to end at once, under load, while some of their peers are dead
// and one is frozen. Each ends within its drain and stopMargin.
func TestShutdownWithDeadPeers(t *testing.T) {
	t.Parallel()
	d := deploy(t, manyBalancers)
	d.drainTarget("bd-02")
	d.awaitRevision(2, maxActivationTime, d.balancers...)
	d.signalBalancer("lb-ne-a-1", syscall.SIGKILL)
	d.signalBalancer("lb-ne-b-1", syscall.SIGKILL)
	d.signalBalancer("lb-ne-c-1", syscall.SIGSTOP)
	d.drainTarget("bd-03")
	rest := d.balancersExcept("lb-ne-a-1", "lb-ne-b-1", "lb-ne-c-1")
	for _, p := range d.balancerProcesses(rest) {
		d.noError(p.signal(syscall.SIGTERM))
	}
	for _, p := range d.balancerProcesses(rest) {
		if err := p.awaitSuccess(drainTime + stopMargin); err != nil {
			t.Error(err)
		}
	}
}
