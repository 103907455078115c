package rpc

// A Pool holds one client for each address. It is not safe for concurrent use.
type Pool struct {
	cfg     ClientConfig
	clients map[string]*Client
}

// NewPool returns an empty pool. Its clients get the configuration cfg with the
// URL of their address. Close closes them.
func NewPool(cfg ClientConfig) *Pool {
	return &Pool{
		cfg:     cfg,
		clients: map[string]*Client{},
	}
}

// Get returns the client for the server at an address and creates it if there is
// none yet.
func (p *Pool) Get(address string) *Client {
	c, ok := p.clients[address]
	if !ok {
		c = NewClient(p.cfg.WithAddress(address))
		p.clients[address] = c
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	for _, c := range p.clients {
		c.Close()
	}
}
