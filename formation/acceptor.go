package formation

import "time"

// stepPrepare answers another founder's request, or this founder's own one. Both the
// promise and what it reports are stored first.
func (f Formation) stepPrepare(now time.Time, from int, body Prepare) (Formation, []Effect) {
	if !f.isFounder() || !f.hasFounder(from) {
		return f, nil
	}
	if body.Ballot.IsBefore(f.stored.Promised) {
		return f, f.refuse(from, body.Ballot)
	}
	var out []Effect
	if f.stored.Promised != body.Ballot {
		f.stored.Promised = body.Ballot
		f, out = f.yield(now, body.Ballot), []Effect{
			f.newLog(now, Record{
				Text:   "Promised a founder to refuse lower ballots.",
				Ballot: body.Ballot,
				From:   from,
			}),
		}
	}
	return f, append(out, Save{
		Stored: f.stored,
		Then: []Send{
			f.sendToFounder(from, Promise{
				Ballot:   body.Ballot,
				Accepted: f.stored.Accepted,
				Group:    f.stored.Group,
			}),
		},
	})
}

func (f Formation) stepAccept(now time.Time, from int, body Accept) (Formation, []Effect) {
	if !f.isFounder() || !f.hasFounder(from) {
		return f, nil
	}
	if body.Ballot.IsBefore(f.stored.Promised) {
		return f, f.refuse(from, body.Ballot)
	}
	f.stored.Promised = body.Ballot
	var out []Effect
	if f.stored.Accepted != body.Ballot {
		f.stored.Accepted, f.stored.Group = body.Ballot, body.Group
		f, out = f.yield(now, body.Ballot), []Effect{
			f.newLog(now, Record{
				Text:   "Accepted a first group.",
				Ballot: body.Ballot,
				From:   from,
				Group:  body.Group,
			}),
		}
	}
	return f, append(out, Save{
		Stored: f.stored,
		Then: []Send{
			f.sendToFounder(from, Accepted{
				Ballot: body.Ballot,
			}),
		},
	})
}

// yield returns f without its own attempt if that has a lower ballot.
func (f Formation) yield(now time.Time, b Ballot) Formation {
	if b.Founder == f.stored.Founder {
		return f
	}
	return f.withoutAttempt(now)
}

func (f Formation) refuse(from int, b Ballot) []Effect {
	return []Effect{
		f.sendToFounder(from, Refused{
			Ballot:   b,
			Promised: f.stored.Promised,
		}),
	}
}
