// Package jobs_test tests the guarantees for jobs with real processes, each behind
// a fault-injecting proxy. Task starts are counted at the stand-in workers.
package jobs_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/standin/record"
)

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}

var _ = AfterSuite(cluster.RemoveBuild)

// Bounds promised in docs/PROOFS.md, and settleLimit, the longest wait for a
// stable state.
const (
	startBound   = 3 * time.Second
	urgentStarts = 1700 * time.Millisecond
	settleLimit  = 30 * time.Second
)

// startFleet starts controllers and gateways and, for each data centre of the list,
// a process with one worker: w1 in the first, w2 in the second and so on.
func startFleet(centres ...string) *cluster.Cluster {
	c, err := cluster.New(cluster.Config{
		Folder:      GinkgoT().TempDir(),
		Controllers: 3,
		Gateways:    2,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(c.Logs())
			GinkgoWriter.Println(c.RecordTail("workers"))
		}
		c.Close()
	})
	Expect(c.Start()).To(Succeed())
	for i, centre := range centres {
		Expect(c.StartWorkers(fmt.Sprintf("w%d", i+1), centre, 1)).To(Succeed())
	}
	waitForWorkers(c, len(centres))
	return c
}

func waitForWorkers(c *cluster.Cluster, n int) {
	Expect(cluster.Eventually(settleLimit, func() error {
		list, _, err := cluster.CallAsOperator[api.Workers](context.Background(), c, http.MethodGet, "g1", "/v1/workers", nil, nil)
		alive := 0
		for _, w := range list.Workers {
			if w.Alive {
				alive++
			}
		}
		if err == nil && alive != n {
			err = fmt.Errorf("%d workers of %d are alive", alive, n)
		}
		return err
	})).To(Succeed())
}

// submit submits a job and retries until the gateway accepts it.
func submit(c *cluster.Cluster, s job.Spec) {
	Expect(cluster.Eventually(settleLimit, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		r, err := c.Submit(ctx, "g1", s)
		if err == nil && r.Status != http.StatusAccepted {
			err = fmt.Errorf("status %d: %s", r.Status, r.Body)
		}
		return err
	})).To(Succeed())
}

// waitPhase waits until a job is in one of the phases, and returns the job.
func waitPhase(c *cluster.Cluster, id string, phases ...string) api.Job {
	var j api.Job
	err := cluster.Eventually(settleLimit, func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if j, err = c.GetJob(ctx, "g1", id); err != nil {
			return err
		}
		for _, p := range phases {
			if j.Phase == p {
				return nil
			}
		}
		return fmt.Errorf("job %s is %s (%s): %v", id, j.Phase, j.Waiting, j.History)
	})
	Expect(err).NotTo(HaveOccurred())
	return j
}

func waitDone(c *cluster.Cluster, id string) {
	j := waitPhase(c, id, "ended")
	Expect(j.Result).To(Equal("done"), "%v", j.History)
}

// recordLines returns the lines of the workers' record whose first word is word, such as
// "start".
func recordLines(c *cluster.Cluster, word string) []record.Line {
	list, err := record.Read(c.RecordPath("workers"))
	Expect(err).NotTo(HaveOccurred())
	var out []record.Line
	for _, l := range list {
		if l.Words[0] == word {
			out = append(out, l)
		}
	}
	return out
}

// startsOf returns the record lines of a job's task starts.
func startsOf(c *cluster.Cluster, id string) []record.Line {
	var out []record.Line
	for _, l := range recordLines(c, "start") {
		if l.Words[1] == id {
			out = append(out, l)
		}
	}
	return out
}

// preparedAt returns the workers that prepared a task of a job.
func preparedAt(c *cluster.Cluster, id string) []string {
	var names []string
	for _, l := range recordLines(c, "prepared") {
		if l.Words[1] == id {
			names = append(names, l.Words[4])
		}
	}
	return names
}

func idempotent(s job.Spec) job.Spec {
	s.Idempotent = true
	return s
}

func checkpointable(s job.Spec) job.Spec {
	s.Checkpointable = true
	return s
}
