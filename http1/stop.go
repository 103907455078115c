package http1

import (
	"context"
	"errors"
	"time"

	"github.com/plantainladder/plantainladder/util"
)

// StopConfig holds the periods of a stop.
type StopConfig struct {
	// NoticePeriod is how long the server goes on accepting connections and calls,
	// so that callers and load balancers turn to other servers.
	NoticePeriod time.Duration
	// AnswerTimeout is how long calls may take that are under way at the end of the
	// notice period. The contexts of the calls end lastAnswerPeriod before, so that the
	// handlers answer that they had no more time.
	AnswerTimeout time.Duration
}

// lastAnswerPeriod is the time for the answers of calls whose contexts a stop has ended.
const lastAnswerPeriod = 150 * time.Millisecond

// SplitTimeout returns the periods of a stop that takes at most timeout. The notice
// period is maxNotice, or shorter if the longest calls that are accepted at its end would
// not be answered in time, but at least half of what it could be.
func SplitTimeout(timeout, maxNotice, longestCall time.Duration) StopConfig {
	maxNotice = min(maxNotice, timeout)
	notice := max(min(maxNotice, timeout-longestCall-idleGrace-lastAnswerPeriod), maxNotice/2)
	return StopConfig{
		NoticePeriod:  notice,
		AnswerTimeout: timeout - notice,
	}
}

// Stop stops the server without breaking a call off. During the notice period it
// accepts connections and calls as before, but the answer to each call that arrives
// closes its connection. Connections without a call stay open until the end of the
// period, since a call may be on its way. Then Stop closes the listener, once the
// connections in its queue are accepted, and waits for the calls under way. It returns
// the error of ctx or context.DeadlineExceeded if calls were left.
func (s *Server) Stop(ctx context.Context, cfg StopConfig) (err error) {
	defer util.Annotate(&err, "http1: stop")
	startedAt := time.Now()
	s.isStopping.Store(true)
	s.logStart(cfg)
	util.SleepContext(ctx, cfg.NoticePeriod)
	ctx, cancel := context.WithTimeout(ctx, cfg.AnswerTimeout)
	defer cancel()
	lastAnswers := time.AfterFunc(max(cfg.AnswerTimeout-lastAnswerPeriod, 0), s.cancelCalls)
	defer lastAnswers.Stop()
	err = s.listener.stop(ctx, time.Now())
	s.connections.closeIdle(time.Now())
	// http.Server.Shutdown would drop the calls that are read after it.
	if awaitErr := s.connections.awaitNone(ctx); s.calls.running.Load() > 0 {
		err = errors.Join(err, awaitErr)
	}
	s.reportEnd(time.Since(startedAt), err)
	return errors.Join(err, s.Close())
}

func (s *Server) logStart(cfg StopConfig) {
	open, idle, _ := s.connections.count()
	s.cfg.Logger.Info().Int64("running", s.calls.running.Load()).Int("connections", open).Int("idle", idle).
		Dur("notice", cfg.NoticePeriod).Dur("answers", cfg.AnswerTimeout).Msg("Server is stopping.")
}

// reportEnd logs and counts the calls that were left without an answer.
func (s *Server) reportEnd(took time.Duration, err error) {
	open, _, received := s.connections.count()
	running := int(s.calls.running.Load())
	dropped := max(received-int(s.calls.passedOn.Load()), 0)
	s.cfg.CountCalls(LeftRunning, running)
	s.cfg.CountCalls(Dropped, dropped)
	s.cfg.Logger.Info().Int64("answered", s.calls.answeredWhileStopping.Load()).Int("left-running", running).
		Int("dropped", dropped).Int("connections", open).Dur("took", took).AnErr("cause", err).Msg("Server has stopped.")
}
