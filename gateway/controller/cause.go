package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/rpc"
)

// A Cause tells why no leader answered a call: *NotCalledError, *NotReachedError,
// *NoLeaderKnownError, *RedirectedError, *FailedError, *NoReplyError, *BusyError,
// *OutcomeUnknownError, *GroupIncompleteError or *CommitStalledError.
type Cause interface {
	error
	cause()
}

// A NotCalledError reports that the call ended before any controller was called.
type NotCalledError struct{}

// A NotReachedError reports that none of the called controllers was reached.
type NotReachedError struct {
	// Err is the error of the latest call.
	Err error
}

// A NoLeaderKnownError reports that every controller that was reached neither leads nor
// follows a leader.
type NoLeaderKnownError struct{}

// A RedirectedError reports that a controller named a leader, and that no controller
// answered as one. A leader without a lease names itself.
type RedirectedError struct {
	// To is the address that the latest redirect named.
	To string
}

// A FailedError reports that a controller answered with an error.
type FailedError struct {
	// Err is the error.
	Err error
}

// A NoReplyError reports that a controller may have received the request and that no
// reply came.
type NoReplyError struct {
	// Err is the error of the call.
	Err error
}

// A BusyError reports that a leader had no room for the request.
type BusyError struct{}

// An OutcomeUnknownError reports a request that a controller accepted and of
// which it does not know whether it was committed.
type OutcomeUnknownError struct {
	// Method is the method that was called.
	Method string
}

// A GroupIncompleteError reports that the leader accepts no commands, since its group has
// too few voters to keep them.
type GroupIncompleteError struct{}

// A CommitStalledError reports that the leader accepts no commands, since it commits
// nothing at present.
type CommitStalledError struct{}

func (*NotCalledError) cause()       {}
func (*NotReachedError) cause()      {}
func (*NoLeaderKnownError) cause()   {}
func (*RedirectedError) cause()      {}
func (*FailedError) cause()          {}
func (*NoReplyError) cause()         {}
func (*BusyError) cause()            {}
func (*OutcomeUnknownError) cause()  {}
func (*GroupIncompleteError) cause() {}
func (*CommitStalledError) cause()   {}

// Error returns the reason.
func (*NotCalledError) Error() string {
	return "no controller was called in time"
}

// Error returns the error of the latest call.
func (e *NotReachedError) Error() string {
	return "no controller was reached: " + e.Err.Error()
}

// Unwrap returns the error of the latest call.
func (e *NotReachedError) Unwrap() error {
	return e.Err
}

// Error returns the reason.
func (*NoLeaderKnownError) Error() string {
	return "the controllers that were reached know no leader"
}

// Error returns the reason and the address that was named.
func (e *RedirectedError) Error() string {
	return "a controller named " + e.To + ", and no controller answered as the leader"
}

// Error returns the controller's error.
func (e *FailedError) Error() string {
	return "a controller failed: " + e.Err.Error()
}

// Unwrap returns the controller's error.
func (e *FailedError) Unwrap() error {
	return e.Err
}

// Error returns the error of the call.
func (e *NoReplyError) Error() string {
	return "a controller did not reply: " + e.Err.Error()
}

// Unwrap returns the error of the call.
func (e *NoReplyError) Unwrap() error {
	return e.Err
}

// Error returns the reason.
func (*BusyError) Error() string {
	return "the leader is busy"
}

// Error returns the method that was called.
func (e *OutcomeUnknownError) Error() string {
	return e.Method + ": the controller does not know whether the request was committed"
}

// Error returns the reason.
func (*GroupIncompleteError) Error() string {
	return "the group of controllers has too few voters yet"
}

// Error returns the reason.
func (*CommitStalledError) Error() string {
	return "the leader commits nothing at present and accepts no commands"
}

// Names of the causes, as log fields and labels.
const (
	causeNotCalled       = "not-called"
	causeNotReached      = "not-reached"
	causeNoLeaderKnown   = "no-leader-known"
	causeRedirected      = "redirected"
	causeFailed          = "failed"
	causeNoReply         = "no-reply"
	causeBusy            = "busy"
	causeOutcomeUnknown  = "outcome-unknown"
	causeGroupIncomplete = "group-incomplete"
	causeCommitStalled   = "commit-stalled"
)

// causeNames lists the names of all causes, in ascending order of how far a call with
// this cause got.
var causeNames = []string{
	causeNotCalled,
	causeNotReached,
	causeNoLeaderKnown,
	causeRedirected,
	causeFailed,
	causeNoReply,
	causeBusy,
	causeOutcomeUnknown,
	causeGroupIncomplete,
	causeCommitStalled,
}

// CauseName returns the name of a cause in kebab case, such as "not-reached".
func CauseName(c Cause) string {
	switch c.(type) {
	case *NotCalledError:
		return causeNotCalled
	case *NotReachedError:
		return causeNotReached
	case *NoLeaderKnownError:
		return causeNoLeaderKnown
	case *RedirectedError:
		return causeRedirected
	case *FailedError:
		return causeFailed
	case *NoReplyError:
		return causeNoReply
	case *BusyError:
		return causeBusy
	case *OutcomeUnknownError:
		return causeOutcomeUnknown
	case *GroupIncompleteError:
		return causeGroupIncomplete
	case *CommitStalledError:
		return causeCommitStalled
	}
	return ""
}

// furtherCause returns the cause whose call got further; the later one if both are alike.
func furtherCause(earlier, later Cause) Cause {
	if slices.Index(causeNames, CauseName(earlier)) > slices.Index(causeNames, CauseName(later)) {
		return earlier
	}
	return later
}

// causeOf returns why one call to one controller has brought no leader's answer.
func causeOf(r reply, err error) Cause {
	var unknown *OutcomeUnknownError
	var noReply *rpc.NoReplyError
	switch {
	case errors.As(err, &unknown):
		return unknown
	case errors.As(err, &noReply) && noReply.Sent:
		return &NoReplyError{
			Err: err,
		}
	case noReply != nil:
		return &NotReachedError{
			Err: err,
		}
	case err != nil:
		return &FailedError{
			Err: err,
		}
	case r.refusal != nil:
		return r.refusal
	case r.redirect != "":
		return &RedirectedError{
			To: r.redirect,
		}
	}
	return &NoLeaderKnownError{}
}

// minTellingWait is the time without a reply from which on a call tells something about the
// controller. The last call for a request may end sooner, together with the request.
const minTellingWait = 100 * time.Millisecond

// A finishedCall is one call to one controller.
type finishedCall struct {
	address   string
	answer    reply
	err       error
	startedAt time.Time
	took      time.Duration
}

// cause returns why the call has brought no leader's answer; nil if it has brought one.
func (c finishedCall) cause() Cause {
	if c.err == nil && c.answer.isLeaders {
		return nil
	}
	return causeOf(c.answer, c.err)
}

// isCutShort reports whether the call ended before the controller can have been expected
// to reply.
func (c finishedCall) isCutShort() bool {
	return errors.Is(c.err, context.DeadlineExceeded) && c.took < minTellingWait
}

// A callRecord is what the calls to controllers for one request have shown.
type callRecord struct {
	calls int
	// unanswered is the number of calls that had no reply in time.
	unanswered int
	lastCalled string
	isSent     bool
	cause      Cause
}

// withCall returns r with one more call.
func (r callRecord) withCall(c finishedCall) callRecord {
	r.calls++
	r.lastCalled = c.address
	r.isSent = r.isSent || wasSent(c.err)
	if errors.Is(c.err, context.DeadlineExceeded) {
		r.unanswered++
	}
	if r.calls == 1 || !c.isCutShort() {
		r.cause = furtherCause(r.cause, causeOf(c.answer, c.err))
	}
	return r
}

// RefusalReason returns the name of the cause for which a leader accepts no commands at
// present, if err says so and that no controller may have accepted the request.
func RefusalReason(err error) (reason string, ok bool) {
	var noLeader *NoLeaderError
	if !errors.As(err, &noLeader) || noLeader.Sent {
		return "", false
	}
	switch noLeader.Cause.(type) {
	case *GroupIncompleteError, *CommitStalledError:
		return CauseName(noLeader.Cause), true
	}
	return "", false
}

// A NoLeaderError reports that no leader replied in time.
type NoLeaderError struct {
	// Sent is true if a controller may have received the request.
	Sent bool
	// Cause tells why: that of the call to a controller that got furthest.
	Cause Cause
	// LastCalled is the address of the controller that was called last; empty for none.
	LastCalled string
	// Calls is the number of calls to controllers.
	Calls int
}

// Error returns the cause.
func (e *NoLeaderError) Error() string {
	return "no leading controller answered: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoLeaderError) Unwrap() error {
	return e.Cause
}

// logFields are the log fields of a NoLeaderError. The error has no such method itself,
// since zerolog would then log these fields in place of its text.
type logFields struct {
	err *NoLeaderError
}

// MarshalZerologObject adds the cause, the controller that was called last and the
// number of calls to a log line.
func (f logFields) MarshalZerologObject(line *zerolog.Event) {
	line.Str("cause", CauseName(f.err.Cause)).Str("last-called", f.err.LastCalled).Int("calls", f.err.Calls)
}

// LogFields returns the log fields of the NoLeaderError that err holds, or nil if it
// holds none.
func LogFields(err error) zerolog.LogObjectMarshaler {
	var noLeader *NoLeaderError
	if !errors.As(err, &noLeader) {
		return nil
	}
	return logFields{
		err: noLeader,
	}
}
