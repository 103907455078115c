package control

// LeaderAddress returns the leader's address, or "" if it is unknown. A controller that
// belongs to no group names the one that last sent it a message: one that has lost its
// disk still gets the messages to the member that had its address.
func (c Core) LeaderAddress() string {
	if c.replica.Group() == "" {
		return c.lastSenderAddress
	}
	return c.addressOf(c.replica.Leader())
}

// PeerAddresses returns the addresses of the controllers that this one knows: the members
// and the sender of the last message.
func (c Core) PeerAddresses() (list []string) {
	for _, m := range c.replica.Members().Members {
		list = append(list, m.Address)
	}
	if c.lastSenderAddress != "" {
		list = append(list, c.lastSenderAddress)
	}
	return list
}

// addressOf returns a member's address. A controller that has just been added
// does not know the members yet; it knows only the sender of the last message.
func (c Core) addressOf(id string) string {
	if m, ok := c.replica.Members().Get(id); ok || id != c.lastSender {
		return m.Address
	}
	return c.lastSenderAddress
}
