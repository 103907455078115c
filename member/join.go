package member

// JoinChange returns the next change that admits a controller that asks to join,
// or false if there is none. A controller with an empty disk replaces the voter
// that had its address. Any other replaces a dead voter, or is added while the
// group has fewer members than the given number of voters. Learners that are
// superseded or dead are removed first.
func (s Set) JoinChange(m Member, voters int, isDead func(id string) bool) (Change, bool) {
	if _, ok := s.Get(m.ID); ok {
		return nil, false
	}
	for _, known := range s.Members {
		isSuperseded := known.Address == m.Address || isDead(known.ID)
		if !known.Voter && isSuperseded {
			return Remove{
				ID: known.ID,
			}, true
		}
	}
	if old, ok := s.replaceableVoter(m.Address, isDead); ok {
		return Add{
			Member: m.WithReplaces(old.ID),
		}, true
	}
	if len(s.Members) < voters {
		return Add{
			Member: m,
		}, true
	}
	return nil, false
}

// replaceableVoter returns the voter that a controller at the given address may
// replace: the voter with this address, or else a dead one. A voter that has a successor
// is not replaced again: only one of two successors could remove it, and the other would
// be a voter more, which nobody ever removes.
func (s Set) replaceableVoter(address string, isDead func(id string) bool) (old Member, ok bool) {
	for _, m := range s.Members {
		if m.Voter && m.Address == address && !s.hasSuccessor(m.ID) {
			return m, true
		}
	}
	for _, m := range s.Members {
		if m.Voter && isDead(m.ID) && !s.hasSuccessor(m.ID) {
			return m, true
		}
	}
	return Member{}, false
}

func (s Set) hasSuccessor(id string) bool {
	for _, m := range s.Members {
		if m.Replaces == id {
			return true
		}
	}
	return false
}
