package consensus

// KeepAlives returns messages that keep the members from electing another leader while this
// one is late. They may be sent beside the steps of the replica, and by a value of it that
// does not lead any more: they only put elections off, by an election timeout, and a member
// in a later term ignores them. It returns nil if the replica does not lead.
func (r Replica) KeepAlives() (list []Message) {
	if !r.IsLeader() {
		return nil
	}
	for _, m := range r.Members().Members {
		if m.ID != r.cfg.ID {
			list = append(list, r.newMessage(m.ID, KeepAlive{}))
		}
	}
	return list
}
