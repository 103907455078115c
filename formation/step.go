package formation

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

const (
	introduceInterval = 250 * time.Millisecond
	// candidateTimeout is how long a controller that has introduced itself counts as
	// being in reach.
	candidateTimeout = 4 * introduceInterval
	// founderDelay is the time that each founder leaves the ones before it for their
	// attempts.
	founderDelay = time.Second
	// completionTimeout is how long a founder waits for a complete group before it
	// proposes one with fewer voters.
	completionTimeout = 2 * time.Second
	// resendInterval is the time after which unanswered messages are sent again.
	resendInterval = 300 * time.Millisecond
	// attemptBackoff is the time after an attempt before the next. Each failure doubles
	// it, and it is longer for later founders: an attempt takes several syncs, and one of
	// another founder in between ends it.
	attemptBackoff      = 500 * time.Millisecond
	maxBackoffDoublings = 3
	// logInterval is the time between two log lines on why there is no group yet.
	logInterval = 5 * time.Second
)

// Step returns the state after an event, with the effects to perform in order.
func (f Formation) Step(now time.Time, e Event) (Formation, []Effect) {
	switch e := e.(type) {
	case Tick:
		return f.stepTick(now, e)
	case MessageReceived:
		return f.stepMessage(now, e.Message)
	}
	return f, nil
}

func (f Formation) stepTick(now time.Time, e Tick) (Formation, []Effect) {
	f.jitter = e.Jitter
	if e.HasGroup {
		f.isOver, f.attempt = true, None{}
	}
	if !f.takesPart() {
		return f, nil
	}
	if f.isOver {
		if e.Undelivered.Group == "" || now.Before(f.resendAt) {
			return f, nil
		}
		f.resendAt = now.Add(resendInterval)
		return f, f.deliver(e.Undelivered)
	}
	f, out := f.introduce(now)
	f, more := f.tickAttempt(now)
	out = append(out, more...)
	f, more = f.logWaiting(now)
	return f, append(out, more...)
}

// introduce tells the founders from time to time that this controller is there.
func (f Formation) introduce(now time.Time) (Formation, []Effect) {
	if now.Before(f.introduceAt) {
		return f, nil
	}
	f.introduceAt = now.Add(introduceInterval)
	var out []Effect
	for i, address := range f.stored.Founders {
		if i == f.stored.Founder {
			continue
		}
		out = append(out, Send{
			Address: address,
			Message: f.newMessage(Introduce{
				Member: f.cfg.Self,
				To:     i,
			}),
		})
	}
	return f, out
}

func (f Formation) stepMessage(now time.Time, m Message) (Formation, []Effect) {
	switch body := m.Body.(type) {
	case Introduce:
		return f.stepIntroduce(now, m.From, body)
	case NoPart:
		return f.withLostFounder(now, body.Founder), nil
	case Chosen:
		return f.stepChosen(now, m.From, body)
	case Prepare:
		return f.stepPrepare(now, m.From, body)
	case Accept:
		return f.stepAccept(now, m.From, body)
	case Promise:
		a, ok := f.attempt.(Preparing)
		if !ok || a.ballot != body.Ballot || !f.hasFounder(m.From) {
			return f, nil
		}
		a = a.withPromise(m.From, body)
		f.attempt = a
		if len(a.promises) < f.majority() {
			return f, nil
		}
		return f.proposeGroup(now, a)
	case Accepted:
		return f.stepAccepted(now, m.From, body)
	case Refused:
		return f.stepRefused(now, body), nil
	}
	return f, nil
}

func (f Formation) stepIntroduce(now time.Time, from int, body Introduce) (Formation, []Effect) {
	if !f.takesPart() && f.isOver {
		return f, nil
	}
	if !f.takesPart() {
		return f, []Effect{
			Send{
				Address: body.Member.Address,
				Message: Message{
					From: NoFounder,
					Body: NoPart{
						Founder: body.To,
					},
				},
			},
		}
	}
	return f.withCandidate(candidate{
		member:  body.Member,
		founder: from,
		seenAt:  now,
	}), nil
}

// stepChosen makes this controller a voter of the group if it is named as one by its
// identity. One that has lost its disk since has another identity.
func (f Formation) stepChosen(now time.Time, from int, body Chosen) (Formation, []Effect) {
	if f.isOver || !body.Group.IsVoter(f.cfg.Self.ID) {
		return f, nil
	}
	f.isOver, f.attempt = true, None{}
	return f, []Effect{
		f.newLog(now, Record{
			Text:  "Learnt the first group, to which this controller belongs.",
			From:  from,
			Group: body.Group,
		}),
		Install{
			Group: body.Group,
		},
	}
}

// deliver tells the other voters of the group.
func (f Formation) deliver(group member.Set) (out []Effect) {
	for _, m := range group.Members {
		if m.ID != f.cfg.Self.ID {
			out = append(out, Send{
				Address: m.Address,
				Message: f.newMessage(Chosen{
					Group: group,
				}),
			})
		}
	}
	return out
}

// logWaiting logs from time to time why there is no group yet.
func (f Formation) logWaiting(now time.Time) (Formation, []Effect) {
	if now.Before(f.logAt) {
		return f, nil
	}
	f.logAt = now.Add(logInterval)
	var lost []string
	for i, address := range f.stored.Founders {
		if saidAt, ok := f.lostFounders[i]; ok && now.Sub(saidAt) <= candidateTimeout {
			lost = append(lost, address)
		}
	}
	slices.Sort(lost)
	r := Record{
		Text:          "There is no group of controllers yet; waiting for a majority of the founders and for the required controllers.",
		From:          NoFounder,
		Ballot:        f.stored.Promised,
		Group:         f.stored.Group,
		LostFounders:  lost,
		NeedsOperator: len(f.stored.Founders)-len(lost) < f.majority(),
	}
	if r.NeedsOperator {
		r.Text = "No group of controllers can be formed, since most founders have lost their disks before there was one. " +
			"If no controller belongs to a group, an operator has to start all of them again with empty disks, as for the first start."
	}
	return f, []Effect{
		f.newLog(now, r),
	}
}

func (f Formation) newLog(now time.Time, r Record) Effect {
	r.Reachable, r.Required = len(f.reachable(now)), f.cfg.minVoters()
	r.Age = now.Sub(f.startedAt)
	return Log{
		Record: r,
	}
}

func (f Formation) newMessage(body Body) Message {
	return Message{
		From: f.stored.Founder,
		Body: body,
	}
}

func (f Formation) hasFounder(i int) bool {
	return i >= 0 && i < len(f.stored.Founders)
}

func (f Formation) sendToFounder(i int, body Body) Send {
	return Send{
		Address: f.stored.Founders[i],
		ToSelf:  i == f.stored.Founder,
		Message: f.newMessage(body),
	}
}

func (f Formation) sendToFounders(body Body, isExcluded func(founder int) bool) (list []Send) {
	for i := range f.stored.Founders {
		if !isExcluded(i) {
			list = append(list, f.sendToFounder(i, body))
		}
	}
	return list
}
