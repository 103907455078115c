// Package history makes a stream of edits to a contract and checks that none is
// lost, applied twice or reverted.
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

// An Editor edits one contract repeatedly. Each edit raises the ceiling of slots
// by one, so that the value tells how many edits were applied.
type Editor struct {
	Cluster      *cluster.Cluster
	Organisation string
	Gateways     []string
	// Pause is the time from an accepted edit to the next.
	Pause time.Duration
	// Acked counts the accepted edits.
	Acked atomic.Int64
	// LongestGap is the longest time between two accepted edits, in
	// nanoseconds.
	LongestGap atomic.Int64
}

const (
	attemptTimeout = 2 * time.Second
	initialSlots   = 10
)

// A ViolationError reports an edit that was lost, applied twice, reverted or
// refused.
type ViolationError struct {
	// Detail says what was seen.
	Detail string
}

// Error returns the detail.
func (e *ViolationError) Error() string {
	return e.Detail
}

func (e *Editor) contractForEdit(n int64) contract.Contract {
	c := cluster.Contract(e.Organisation, 0, 0, 0, initialSlots+int(n))
	return c.WithRevision(uint64(n))
}

// Run makes edits until ctx ends. Each edit is resent with the same command
// identifier, to one gateway after another, until one accepts or refuses it.
func (e *Editor) Run(ctx context.Context) error {
	last := time.Now()
	for n := int64(0); ctx.Err() == nil; n++ {
		revision, err := e.putUntilAnswered(ctx, e.contractForEdit(n))
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

func (e *Editor) putUntilAnswered(ctx context.Context, c contract.Contract) (uint64, error) {
	id := util.NewID()
	for i := 0; ctx.Err() == nil; i++ {
		gateway := e.Gateways[i%len(e.Gateways)]
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		accepted, r, err := cluster.CallAsOperator[api.Accepted](attemptCtx, e.Cluster, http.MethodPut, gateway,
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
			return accepted.Revision, nil
		}
	}
	return 0, context.Canceled
}

// Watch reads the contract at one gateway until ctx ends, and returns a
// *ViolationError if its revision ever decreases.
func (e *Editor) Watch(ctx context.Context, gateway string) error {
	var last uint64
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		revision, ok := e.readRevision(ctx, gateway)
		if ok && revision < last {
			return &ViolationError{
				Detail: fmt.Sprintf("%s went back from revision %d to %d", gateway, last, revision),
			}
		}
		last = max(last, revision)
	}
}

func (e *Editor) readRevision(ctx context.Context, gateway string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, r, err := cluster.CallAsOperator[contract.Contract](ctx, e.Cluster, http.MethodGet, gateway,
		"/v1/contracts/"+e.Organisation, nil, nil)
	return c.Revision, err == nil && r.Status == http.StatusOK
}

// Check waits until every gateway shows the contract with all accepted edits,
// and returns the last error if that takes longer than limit. One more edit may
// have been applied: the last one, since ctx ended before its reply came.
func (e *Editor) Check(limit time.Duration) error {
	acked := uint64(e.Acked.Load())
	return cluster.Eventually(limit, func() error {
		for _, g := range e.Gateways {
			c, r, err := cluster.CallAsOperator[contract.Contract](context.Background(), e.Cluster, http.MethodGet, g,
				"/v1/contracts/"+e.Organisation, nil, nil)
			if err != nil {
				return err
			}
			if c.Revision < acked || c.Revision > acked+1 || c.CeilingSlots != initialSlots+int(c.Revision)-1 {
				return &ViolationError{
					Detail: fmt.Sprintf("%s has revision %d with %d slots after %d accepted edits (status %d)",
						g, c.Revision, c.CeilingSlots, acked, r.Status),
				}
			}
		}
		return nil
	})
}
