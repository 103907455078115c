package main

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/http1"
)

var (
	bytesWritten = metrics.NewCounter("gateway_control_bytes_written_total")
	bytesRead    = metrics.NewCounter("gateway_control_bytes_read_total")
)

// createRefusalCounters creates the counter of each known reason, so that all of
// them are exported from the start.
func createRefusalCounters() {
	for _, r := range admission.Reasons() {
		reply.RefusalCounter(string(r))
	}
	for _, r := range plantainladder.Reasons() {
		reply.RefusalCounter(string(r))
	}
}

// createStopCounters creates the counter of each outcome of a call that a stop meets.
func createStopCounters() {
	for _, o := range http1.Outcomes() {
		countStopCalls(o, 0)
	}
}

func countStopCalls(o http1.Outcome, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_stop_calls_total{outcome=%q}", o)).Add(n)
}

// createClientRefusalCounters creates the counter of each refusal of what clients send.
func createClientRefusalCounters() {
	for _, r := range http1.Refusals() {
		clientRefusals(r).Add(0)
	}
}

func countRefusal(r http1.Refusal) {
	clientRefusals(r).Inc()
}

func clientRefusals(r http1.Refusal) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_client_refusals_total{reason=%q}", r))
}

func countBytes(written, read int) {
	bytesWritten.Add(written)
	bytesRead.Add(read)
}

// setGauges sets the gauges from the gateway's published state.
func setGauges(s admission.State, now time.Time) {
	for name, v := range map[string]float64{
		"gateway_view_index":         float64(s.View().Index()),
		"gateway_view_lease_seconds": s.Lease().Remaining(now).Seconds(),
		"gateway_requests_running":   float64(s.RunningCount()),
		"gateway_requests_queued":    float64(s.QueuedCount()),
		"gateway_minions":            float64(s.Minions().Len()),
	} {
		metrics.GetOrCreateGauge(name, nil).Set(v)
	}
}
