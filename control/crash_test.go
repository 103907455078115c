package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/worker"
)

// runUntilRestart announces an incarnation of the worker and lets it run the
// current attempt of the job "j", if there is one. Then the worker is away for some
// time.
func (l *leader) runUntilRestart(incarnation int, attempt int, away time.Duration) {
	sequence := uint64(100 * incarnation)
	b := heartbeat(sequence)
	b.Worker.Incarnation = fmt.Sprintf("i%d", incarnation)
	l.poll(fullHeartbeatPoll(b))
	for i, s := range []worker.TaskState{worker.TaskPrepared, worker.TaskRunning} {
		l.advance(200 * time.Millisecond)
		r := taskReport(s)
		r.Attempt = attempt
		l.step(control.PushAnswered{
			Worker:      "w1",
			Incarnation: b.Worker.Incarnation,
			Sequence:    sequence + uint64(i) + 1,
			Reports: []worker.TaskReport{
				r,
			},
		})
	}
	l.advance(away)
}

var _ = Describe("A job whose task crashes its worker", func() {
	DescribeTable("is parked instead of taking one worker down after the other", func(away time.Duration) {
		l := newLeader()
		l.poll(fullHeartbeatPoll(heartbeat(1)))
		l.submitJobThat(true)
		for n := range 6 {
			l.runUntilRestart(n+1, n+1, away)
		}
		j, _ := l.core.State().Job("j")
		Expect(j.Attempt).To(Equal(3))
		Expect(job.PhaseName(j.Phase)).To(Equal("parked"))
	},
		Entry("if they restart at once", time.Duration(0)),
		Entry("if they restart after their lease has expired", 30*time.Second),
	)
})
