// Package requests_test tests the guarantees for callers with real processes, each
// behind a fault-injecting proxy. Runs are counted at the stand-in minions.
package requests_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/standin/minion"
	"github.com/plantainladder/plantainladder/standin/record"
)

func TestRequests(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requests")
}

var _ = AfterSuite(cluster.RemoveBuild)

// Bounds promised in docs/PROOFS.md, and settleLimit, the longest wait for a
// stable state.
const (
	startBound  = 3 * time.Second
	settleLimit = 20 * time.Second
)

// clusterSpec describes the processes of a test.
type clusterSpec struct {
	gateways int
	// minions holds the data centre of each minion.
	minions []string
	// minionArgs holds additional command-line arguments of all minions.
	minionArgs []string
}

func startCluster(s clusterSpec) *cluster.Cluster {
	c, err := cluster.New(cluster.Config{
		Folder:      GinkgoT().TempDir(),
		Controllers: 3,
		Gateways:    s.gateways,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(c.Logs())
		}
		c.Close()
	})
	Expect(c.Start()).To(Succeed())
	for i, centre := range s.minions {
		Expect(c.StartMinion(fmt.Sprintf("m%d", i+1), centre, s.minionArgs...)).To(Succeed())
	}
	waitForMinions(c, len(s.minions))
	return c
}

func waitForMinions(c *cluster.Cluster, n int) {
	Expect(cluster.Eventually(settleLimit, func() error {
		m, _, err := cluster.CallAsOperator[api.Minions](context.Background(), c, http.MethodGet, "g1", "/v1/minions", nil, nil)
		if err == nil && len(m.Minions) != n {
			err = fmt.Errorf("%d minions of %d are registered", len(m.Minions), n)
		}
		return err
	})).To(Succeed())
}

// load sends requests from several concurrent callers until it is stopped. Each
// caller sends its next request after the answer to the last.
type load struct {
	c        *cluster.Cluster
	call     cluster.Call
	gateways func() []string
	resend   bool
	stop     context.CancelFunc
	wg       sync.WaitGroup
	next     atomic.Int64
	mu       sync.Mutex
	outcomes map[string]int
	last     map[string]string
	slowest  time.Duration
}

func startLoad(c *cluster.Cluster, callers int, l *load) *load {
	l.c = c
	l.outcomes, l.last = map[string]int{}, map[string]string{}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	for range callers {
		l.wg.Go(func() {
			for ctx.Err() == nil {
				l.sendRequest()
			}
		})
	}
	return l
}

// sendRequest sends one request and, with resend, retries it until its outcome is final.
func (l *load) sendRequest() {
	n := l.next.Add(1)
	call := l.call
	call.Work.ID = fmt.Sprintf("%s-%d", call.Organisation, n)
	call.Key = call.Work.ID
	began := time.Now()
	for try := int64(0); ; try++ {
		gateways := l.gateways()
		if len(gateways) == 0 {
			return
		}
		r, err := l.c.Request(context.Background(), gateways[(n+try)%int64(len(gateways))], call)
		outcome := "no-answer"
		if err == nil {
			outcome = r.Outcome()
			if outcome == api.OutcomeDone && !isWhole(r, call) {
				outcome = "wrong-answer"
			}
		}
		l.recordOutcome(call.Work.ID, outcome, time.Since(began), r)
		final := outcome == api.OutcomeDone || outcome == "wrong-answer"
		if final || !l.resend || try > 20 || outcome == api.OutcomeUnknown && r.Reason() != "in-progress" {
			return
		}
	}
}

func isWhole(r cluster.Response, call cluster.Call) bool {
	if r.Reason() == "answer-not-kept" {
		return true
	}
	want := call.Work.ID + " done"
	return len(r.Body) >= max(len(want), call.Work.AnswerBytes) && string(r.Body[:len(want)]) == want
}

func (l *load) recordOutcome(id, outcome string, took time.Duration, r cluster.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := outcome
	if outcome != api.OutcomeDone {
		name += " " + r.Reason()
	}
	l.outcomes[name]++
	l.last[id] = outcome
	l.slowest = max(l.slowest, took)
}

// stopAndCollect stops the callers and returns the outcomes by name.
func (l *load) stopAndCollect() map[string]int {
	l.stop()
	l.wg.Wait()
	AddReportEntry("outcomes", fmt.Sprint(l.outcomes, " slowest ", l.slowest))
	return l.outcomes
}

// doneCount returns the number of requests with the outcome done so far.
func (l *load) doneCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[api.OutcomeDone]
}

func (l *load) waitFor(n int) {
	want := l.doneCount() + n
	Eventually(l.doneCount).WithTimeout(settleLimit).WithPolling(10 * time.Millisecond).Should(BeNumerically(">=", want))
}

// checkRuns compares the outcomes that callers got with the runs at the minions: a
// done request ran once, a not-run request never, and none more than once.
func (l *load) checkRuns() {
	runs, err := l.c.RunCounts()
	Expect(err).NotTo(HaveOccurred())
	for id, outcome := range l.last {
		n := runs[id]
		switch outcome {
		case api.OutcomeDone:
			Expect(n).To(Equal(1), "%s is done", id)
		case api.OutcomeNotRun:
			Expect(n).To(BeZero(), "%s is not-run", id)
		default:
			Expect(n).To(BeNumerically("<=", 1), "%s is %s", id, outcome)
		}
	}
}

func fixedGateways(names ...string) func() []string {
	return func() []string { return names }
}

// readyGateways returns the gateways that are ready, as a load balancer selects them.
func readyGateways(c *cluster.Cluster, names ...string) func() []string {
	return func() []string {
		var list []string
		for _, name := range names {
			if c.IsReady(name) {
				list = append(list, name)
			}
		}
		return list
	}
}

// startsAfter returns the runs at minions of the given names that began after
// a time.
func startsAfter(c *cluster.Cluster, t time.Time, names ...string) []record.Line {
	lines, err := record.Read(c.RecordPath("minions"))
	Expect(err).NotTo(HaveOccurred())
	var late []record.Line
	for _, l := range lines {
		for _, name := range names {
			if l.Words[0] == "run" && l.Words[2] == name && l.At.After(t) {
				late = append(late, l)
			}
		}
	}
	return late
}

func work(run time.Duration) minion.Work {
	return minion.Work{
		RunMS: run.Milliseconds(),
	}
}

var errNotYet = errors.New("not yet")
