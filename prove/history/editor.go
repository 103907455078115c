// Package history makes a stream of edits and checks what became of each.
package history

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/util"
)

// An Editor edits one contract over and over; each accepted edit raises the
// ceiling of slots by one, so that the value tells how many were made.
type Editor struct {
	Cluster      *cluster.Cluster
	Organisation string
	Gateways     []string
	// Pause is the time between two edits.
	Pause time.Duration
	Acked atomic.Int64
	// LongestGap is the longest time between two accepted edits, in
	// nanoseconds.
	LongestGap atomic.Int64
}

const (
	tryTimeout = 2 * time.Second
	firstSlots = 10
)

// A ViolationError reports an edit that was lost, doubled or reverted.
type ViolationError struct {
	// Detail says what was seen.
	Detail string
}

// Error returns what was seen.
func (e *ViolationError) Error() string {
	return e.Detail
}

func (e *Editor) edit(n int64) contract.Contract {
	c := cluster.Contract(e.Organisation, 0, 0, 0, firstSlots+int(n))
	return c.WithRevision(uint64(n))
}

// Run edits until ctx ends. Each edit is resent with the same command
// identifier, to one gateway after another, until there is an outcome.
func (e *Editor) Run(ctx context.Context) error {
	last := time.Now()
	for n := int64(0); ctx.Err() == nil; n++ {
		revision, err := e.put(ctx, e.edit(n))
		if errors.Is(err, context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		if revision != uint64(n)+1 {
			return &ViolationError{
				Detail: fmt.Sprintf("edit %d was given revision %d", n+1, revision),
			}
		}
		e.Acked.Store(n + 1)
		e.LongestGap.Store(max(e.LongestGap.Load(), int64(time.Since(last))))
		last = time.Now()
		util.SleepContext(ctx, e.Pause)
	}
	return nil
}

func (e *Editor) put(ctx context.Context, c contract.Contract) (uint64, error) {
	id := util.NewID()
	for i := 0; ctx.Err() == nil; i++ {
		gateway := e.Gateways[i%len(e.Gateways)]
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		a, r, err := cluster.Operate[api.Accepted](try, e.Cluster, http.MethodPut, gateway,
			"/v1/contracts/"+e.Organisation, c, map[string]string{
				api.HeaderCommandID: id,
			})
		cancel()
		switch {
		case err != nil || r.Status >= http.StatusInternalServerError:
		case r.Status != http.StatusOK:
			return 0, &ViolationError{
				Detail: fmt.Sprintf("edit of revision %d was refused: %s", c.Revision, r.Body),
			}
		default:
			return a.Revision, nil
		}
	}
	return 0, context.Canceled
}

// Watch reads the contract at one gateway until ctx ends, and returns an error
// if it ever goes back.
func (e *Editor) Watch(ctx context.Context, gateway string) error {
	var last uint64
	every := time.NewTicker(50 * time.Millisecond)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-every.C:
		}
		revision, ok := e.read(ctx, gateway)
		if ok && revision < last {
			return &ViolationError{
				Detail: fmt.Sprintf("%s went back from revision %d to %d", gateway, last, revision),
			}
		}
		last = max(last, revision)
	}
}

func (e *Editor) read(ctx context.Context, gateway string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, r, err := cluster.Operate[contract.Contract](ctx, e.Cluster, http.MethodGet, gateway,
		"/v1/contracts/"+e.Organisation, nil, nil)
	return c.Revision, err == nil && r.Status == http.StatusOK
}

// Check waits until every gateway shows the same contract and compares it with
// the edits that were accepted. One more may have been made: the last, whose
// answer nobody waited for.
func (e *Editor) Check(limit time.Duration) error {
	acked := uint64(e.Acked.Load())
	return cluster.Eventually(limit, func() error {
		for _, g := range e.Gateways {
			c, r, err := cluster.Operate[contract.Contract](context.Background(), e.Cluster, http.MethodGet, g,
				"/v1/contracts/"+e.Organisation, nil, nil)
			if err != nil {
				return err
			}
			if c.Revision < acked || c.Revision > acked+1 || c.CeilingSlots != firstSlots+int(c.Revision)-1 {
				return &ViolationError{
					Detail: fmt.Sprintf("%s holds revision %d with %d slots after %d accepted edits (status %d)",
						g, c.Revision, c.CeilingSlots, acked, r.Status),
				}
			}
		}
		return nil
	})
}
