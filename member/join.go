package member

// Admission returns the change by which a controller that asks to join is
// brought in, and whether there is one. One with an empty disk takes the place
// of the member that was at its address. Others fill the group up to a number
// of voters, or take the place of a member that is dead.
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

// replaceable returns the voter whose place a controller at an address may
// take: the one that was there, or else one that is dead.
func (s Set) replaceableVoter(address string, isDead func(id string) bool) (Member, bool) {
	for _, m := range s.Members {
		if m.Voter && m.Address == address {
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
