package formation

import "time"

// tickAttempt starts an attempt if one is due, or repeats what was not answered.
func (f Formation) tickAttempt(now time.Time) (Formation, []Effect) {
	if !f.isFounder() {
		return f, nil
	}
	switch a := f.attempt.(type) {
	case None:
		return f.startAttempt(now)
	case Preparing:
		return f.resend(now, func(i int) bool { _, ok := a.promises[i]; return ok })
	case Accepting:
		return f.resend(now, func(i int) bool { return a.accepted[i] })
	}
	return f, nil
}

func (f Formation) startAttempt(now time.Time) (Formation, []Effect) {
	_, isDue := f.newGroup(now)
	hasAccepted := f.stored.Group.Group != "" && now.Sub(f.startedAt) >= completionTimeout
	if now.Before(f.attemptAt) || !isDue && !hasAccepted {
		return f, nil
	}
	b := Ballot{
		Round:   max(f.stored.Promised.Round, f.highestRound) + 1,
		Founder: f.stored.Founder,
	}
	// The ballot is stored before it is sent: after a restart it must not be used again.
	f.stored.Promised = b
	f.attempt = Preparing{
		ballot: b,
	}
	f.resendAt = now.Add(resendInterval)
	return f, []Effect{
		f.newLog(now, Record{
			Text:   "Asking the founders to agree on the first group.",
			Ballot: b,
			From:   NoFounder,
		}),
		Save{
			Stored: f.stored,
			Then: f.sendToFounders(Prepare{
				Ballot: b,
			}, func(int) bool { return false }),
		},
	}
}

// resend repeats the attempt's requests to the founders that have not answered.
func (f Formation) resend(now time.Time, hasAnswered func(founder int) bool) (Formation, []Effect) {
	if now.Before(f.resendAt) {
		return f, nil
	}
	f.resendAt = now.Add(resendInterval)
	if a, ok := f.attempt.(Preparing); ok && len(a.promises) >= f.majority() {
		return f.proposeGroup(now, a)
	}
	var body Body
	switch a := f.attempt.(type) {
	case None:
		return f, nil
	case Preparing:
		body = Prepare{
			Ballot: a.ballot,
		}
	case Accepting:
		body = Accept{
			Ballot: a.ballot,
			Group:  a.group,
		}
	}
	return f, []Effect{
		Save{
			Stored: f.stored,
			Then:   f.sendToFounders(body, hasAnswered),
		},
	}
}

// proposeGroup asks the founders to accept a group, once a majority has promised to
// refuse lower ballots: the latest group that one of them has accepted, which may be
// chosen already, or else a new one.
func (f Formation) proposeGroup(now time.Time, a Preparing) (Formation, []Effect) {
	var latest Promise
	for _, p := range a.promises {
		if p.Group.Group != "" && (latest.Group.Group == "" || latest.Accepted.IsBefore(p.Accepted)) {
			latest = p
		}
	}
	group := latest.Group
	if group.Group == "" {
		var ok bool
		if group, ok = f.newGroup(now); !ok {
			return f, nil
		}
	}
	f.attempt = Accepting{
		ballot: a.ballot,
		group:  group,
	}
	f.resendAt = now.Add(resendInterval)
	out := []Effect{
		f.newLog(now, Record{
			Text:   "Proposed a first group to the founders.",
			Ballot: a.ballot,
			From:   NoFounder,
			Group:  group,
		}),
	}
	for _, s := range f.sendToFounders(Accept{
		Ballot: a.ballot,
		Group:  group,
	}, func(int) bool { return false }) {
		out = append(out, s)
	}
	return f, out
}

func (f Formation) stepAccepted(now time.Time, from int, body Accepted) (Formation, []Effect) {
	a, ok := f.attempt.(Accepting)
	if !ok || a.ballot != body.Ballot || !f.hasFounder(from) {
		return f, nil
	}
	a = a.withAccepted(from)
	f.attempt = a
	if len(a.accepted) < f.majority() {
		return f, nil
	}
	f = f.withoutAttempt(now)
	out := append(f.deliver(a.group), f.newLog(now, Record{
		Text:   "The first group was chosen.",
		Ballot: a.ballot,
		From:   NoFounder,
		Group:  a.group,
	}))
	if f.isOver || !a.group.IsVoter(f.cfg.Self.ID) {
		return f, out
	}
	f.isOver = true
	return f, append(out, Install{
		Group:     a.group,
		Campaigns: true,
	})
}

func (f Formation) stepRefused(now time.Time, body Refused) Formation {
	f.highestRound = max(f.highestRound, body.Promised.Round)
	switch a := f.attempt.(type) {
	case None:
	case Preparing:
		if a.ballot == body.Ballot {
			return f.withoutAttempt(now)
		}
	case Accepting:
		if a.ballot == body.Ballot {
			return f.withoutAttempt(now)
		}
	}
	return f
}
