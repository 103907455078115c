// Package configuration defines the configuration that operators set: one
// document of queues, pools and organisations, which is only ever replaced as a
// whole by one with a higher version.
package configuration

import (
	"slices"
	"strings"
)

// A Document is a complete configuration.
type Document struct {
	// Version orders documents. The one with the highest version is in force.
	Version uint64 `json:"version"`
	// Queues lists the queues to which workflows are submitted.
	Queues []Queue `json:"queues"`
	// Pools lists the pools of workers.
	Pools []Pool `json:"pools"`
	// Organisations lists the organisations and their tokens.
	Organisations []Organisation `json:"organisations"`
	// Source is the document as the operator sent it. Reads return it unchanged.
	Source []byte `json:"source"`
}

// IsZero reports whether d is empty, since no configuration was accepted yet.
func (d Document) IsZero() bool {
	return d.Version == 0
}

// Queue returns the queue with the given name.
func (d Document) Queue(name string) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// HasPool reports whether there is a pool with the given name.
func (d Document) HasPool(name string) bool {
	return slices.ContainsFunc(d.Pools, func(p Pool) bool {
		return p.Name == name
	})
}

// MatchQueue returns the queue at the given host whose prefix is the longest
// one that the path begins with.
func (d Document) MatchQueue(host, path string) (best Queue, ok bool) {
	for _, q := range d.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!ok || len(q.Prefix) > len(best.Prefix)) {
			best, ok = q, true
		}
	}
	return best, ok
}

// OrganisationByToken returns the organisation that the token belongs to. No
// organisation has the empty token.
func (d Document) OrganisationByToken(token string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if token != "" && o.HasToken(token) {
			return o, true
		}
	}
	return Organisation{}, false
}

// Organisation returns the organisation with the given name.
func (d Document) Organisation(name string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}
