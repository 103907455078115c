package node

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/worker"
	"github.com/plantainladder/plantainladder/workflow"
)

// meters holds the controller's metrics. docs/METRICS.md lists them.
type meters struct {
	bytesWritten  *metrics.Counter
	bytesRead     *metrics.Counter
	entriesSynced *metrics.Counter
	syncSeconds   *metrics.Histogram
	// voteSyncSeconds is exported from the start, unlike histograms without fixed
	// buckets: a group may run for long without an election.
	voteSyncSeconds *metrics.PrometheusHistogram
	// The times of events are exported from the start as well.
	eventWaitSeconds    *metrics.PrometheusHistogram
	eventStepSeconds    *metrics.PrometheusHistogram
	eventPerformSeconds *metrics.PrometheusHistogram
	snapshotSeconds     *metrics.Histogram
	snapshotBytes       *metrics.Counter
	diskFull            *metrics.Counter
	// counters holds the counters that were incremented. Only the event loop uses it.
	counters map[control.IncrementCounter]*metrics.Counter
}

func newMeters() *meters {
	m := &meters{
		bytesWritten:        metrics.NewCounter("controller_bytes_written_total"),
		bytesRead:           metrics.NewCounter("controller_bytes_read_total"),
		entriesSynced:       metrics.NewCounter("controller_entries_synced_total"),
		syncSeconds:         metrics.NewHistogram("controller_sync_seconds"),
		voteSyncSeconds:     metrics.NewPrometheusHistogram("controller_vote_sync_seconds"),
		eventWaitSeconds:    metrics.NewPrometheusHistogram("controller_event_wait_seconds"),
		eventStepSeconds:    metrics.NewPrometheusHistogram("controller_event_step_seconds"),
		eventPerformSeconds: metrics.NewPrometheusHistogram("controller_event_perform_seconds"),
		snapshotSeconds:     metrics.NewHistogram("controller_snapshot_encode_seconds"),
		snapshotBytes:       metrics.NewCounter("controller_snapshot_bytes_total"),
		diskFull:            metrics.NewCounter("controller_disk_full_total"),
		counters:            map[control.IncrementCounter]*metrics.Counter{},
	}
	createCounters()
	return m
}

// createCounters creates the counter for each known label, so that all of them are
// exported from the start.
func createCounters() {
	metrics.GetOrCreateCounter(fmt.Sprintf("controller_loop_held_up_total{event=%q}", eventName(control.Tick{})))
	counter(control.CounterCommands, "accepted")
	for _, r := range plantainladder.Reasons() {
		counter(control.CounterRefusals, string(r))
	}
	for _, r := range job.StopReasons() {
		counter(control.CounterJobStops, string(r))
	}
	counter(control.CounterRunCrashes, control.LabelAlone)
	counter(control.CounterRunCrashes, control.LabelShared)
	for _, label := range []string{control.LabelStopped, control.LabelSuspended, control.LabelSetBack} {
		counter(control.CounterStandstills, label)
	}
	for _, label := range []string{control.LabelOwnDisk, control.LabelVoters} {
		counter(control.CounterCommitStalls, label)
	}
	for _, cause := range consensus.LossCauses() {
		counter(control.CounterLeadershipsLost, string(cause))
	}
	for _, f := range workflow.WorkerFates() {
		counter(control.CounterLossVerdicts, string(f))
	}
	for _, action := range []string{worker.ActionPrepare, worker.ActionStart, worker.ActionStop} {
		counter(control.CounterOrdersPushed, action)
		counter(control.CounterOrderRetries, action)
	}
}

func counter(name control.CounterName, label string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("controller_%s{reason=%q}", name, label))
}

func (m *meters) countBytes(bytesWritten, bytesRead int) {
	m.bytesWritten.Add(bytesWritten)
	m.bytesRead.Add(bytesRead)
}

func (m *meters) observeSync(entries int, duration time.Duration) {
	m.entriesSynced.Add(entries)
	m.syncSeconds.Update(duration.Seconds())
}

func (m *meters) observeSnapshot(bytes int, duration time.Duration) {
	m.snapshotBytes.Add(bytes)
	m.snapshotSeconds.Update(duration.Seconds())
}

func (m *meters) observeEvent(t timing) {
	m.eventWaitSeconds.Update(t.Waited.Seconds())
	m.eventStepSeconds.Update(t.Step.Seconds())
	m.eventPerformSeconds.Update(t.Perform.Seconds())
}

// countHeldUp counts an event that held up the event loop.
func (m *meters) countHeldUp(event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("controller_loop_held_up_total{event=%q}", event)).Inc()
}

// increment increments a counter. Only the event loop calls it.
func (m *meters) increment(f control.IncrementCounter) {
	c, ok := m.counters[f]
	if !ok {
		c = counter(f.Name, f.Label)
		m.counters[f] = c
	}
	c.Inc()
}

// exportDisk exports gauges of a data folder. The free space is left out where the
// operating system does not tell it.
func exportDisk(usage func() disk.Usage, space func() (s disk.Space, ok bool)) {
	metrics.NewGauge("controller_disk_log_bytes", func() float64 { return float64(usage().LogBytes) })
	metrics.NewGauge("controller_disk_snapshot_bytes", func() float64 { return float64(usage().SnapshotBytes) })
	metrics.NewGauge("controller_disk_full", func() float64 {
		if usage().IsFull {
			return 1
		}
		return 0
	})
	if _, ok := space(); ok {
		metrics.NewGauge("controller_disk_free_bytes", func() float64 {
			s, isKnown := space()
			if !isKnown {
				return math.NaN()
			}
			return float64(s.Free)
		})
	}
}

// updateGauges sets the gauges from the controller's published core.
func (m *meters) updateGauges(now time.Time, c control.Core) {
	counts := c.State().Counts()
	log := c.Replica().Log()
	leader := 0.0
	if c.Replica().IsLeader() {
		leader = 1
	}
	tolerated := -1.0
	if h, isLeader := c.GroupHealth(now); isLeader {
		tolerated = float64(h.Tolerated)
	}
	slowdown := 1.0
	pairs := c.Interference()
	for _, e := range pairs {
		slowdown = max(slowdown, e.Slowdown)
	}
	unevenPools, knownSpeeds := c.UnevenPools()
	for name, v := range map[string]float64{
		"controller_is_leader":                leader,
		"controller_tolerated_losses":         tolerated,
		"controller_term":                     float64(c.Replica().Hard().Term),
		"controller_commit_index":             float64(c.Replica().CommitIndex()),
		"controller_commit_stalled_seconds":   c.CommitStall(now).Seconds(),
		"controller_log_entries":              float64(log.LastIndex() - log.BaseIndex()),
		"controller_log_bytes":                float64(log.Bytes()),
		"controller_uncommitted_bytes":        float64(log.BytesAfter(c.Replica().CommitIndex())),
		"controller_log_bytes_since_snapshot": float64(c.LogBytesSinceSnapshot()),
		"controller_contracts":                float64(counts.Contracts),
		"controller_workers":                  float64(counts.Workers),
		"controller_jobs":                     float64(counts.Jobs),
		"controller_active_jobs":              float64(counts.Active),
		"controller_claims":                   float64(counts.Claims),
		"controller_outcomes":                 float64(counts.Outcomes),
		"controller_workflows":                float64(counts.Workflows),
		"controller_unsettled":                float64(counts.ActiveWorkflows),
		"controller_pool_workers":             float64(counts.PoolWorkers),
		"controller_uneven_pools":             float64(unevenPools),
		"controller_known_speeds":             float64(knownSpeeds),
		"controller_interference_pairs":       float64(len(pairs)),
		"controller_interference_slowdown":    slowdown,
	} {
		metrics.GetOrCreateGauge(name, nil).Set(v)
	}
	updateLimitGauges(c.State().LimitUses())
}
