package node

import (
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/loop"
	"github.com/plantainladder/plantainladder/util"
)

// heldUpAfter is the time after which an event has held up the event loop: a leader sends
// its members a message in each such interval.
const heldUpAfter = heartbeatInterval

// timing is the time that an event of the controller took.
type timing = loop.Timing[control.Event, control.Effect]

// A loopObserver records the time that events wait and take, and logs what held up the
// event loop. Only the event loop uses it.
type loopObserver struct {
	logger zerolog.Logger
	meters *meters
	// isLate is true while events wait for longer than heldUpAfter.
	isLate bool
	// usage was read at sampledAt.
	usage     util.Usage
	sampledAt time.Time
}

func newLoopObserver(logger zerolog.Logger, m *meters) *loopObserver {
	return &loopObserver{
		logger:    logger,
		meters:    m,
		usage:     util.ReadUsage(),
		sampledAt: time.Now(),
	}
}

// observe records the time that an event took. It logs each event that takes too long,
// and the first one of those that wait for too long.
func (o *loopObserver) observe(t timing) {
	o.meters.observeEvent(t)
	isLate := t.Waited > heldUpAfter
	isHeldUp := t.Step+t.Perform > heldUpAfter
	becomesLate := isLate && !o.isLate
	o.isLate = isLate
	_, isTick := t.Event.(control.Tick)
	if !isTick && !isHeldUp && !becomesLate {
		return
	}
	usage := util.ReadUsage()
	if isHeldUp || becomesLate {
		o.log(t, usage.Since(o.usage))
	}
	if isHeldUp {
		o.meters.countHeldUp(eventName(t.Event))
	}
	o.usage, o.sampledAt = usage, t.EndedAt
}

// log logs an event with what the process used since the last sample, about one tick
// before the event.
func (o *loopObserver) log(t timing, used util.Usage) {
	line := o.logger.Warn().Str("event", eventName(t.Event)).Dur("waited", t.Waited).Dur("step", t.Step).
		Dur("perform", t.Perform).Int("effects", t.Effects).Int("queued", t.Queued)
	if t.Effects > 0 {
		line = line.Str("slowest", typeName(t.Slowest)).Dur("slowest-took", t.SlowestTook)
	}
	line.Dur("sampled", t.EndedAt.Sub(o.sampledAt)).Dur("processor", used.Processor).Dur("collector", used.Collector).
		Dur("assists", used.Assists).Int64("major-faults", used.MajorFaults).Int64("preemptions", used.Preemptions).
		Msg("The event loop was held up.")
}

// eventName returns the name of an event in kebab case. That of a message of another
// controller has the message's kind.
func eventName(e control.Event) string {
	name := typeName(e)
	if received, ok := e.(control.PeerMessageReceived); ok && received.Message.Body != nil {
		name += "/" + typeName(received.Message.Body)
	}
	return name
}

func typeName(v any) string {
	return codec.Kebab(reflect.TypeOf(v).Name())
}
