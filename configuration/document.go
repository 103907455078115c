// Package configuration holds the aggregate of the operators' whole
// configuration: one document of queues, pools and organisations, replaced as
// a whole under a rising version.
package configuration

import "strings"

// A Document is a complete configuration.
type Document struct {
	// Version orders documents; the highest is in force.
	Version uint64 `json:"version"`
	// Queues holds the queues of workflows.
	Queues []Queue `json:"queues"`
	// Pools holds the pools of workers.
	Pools []Pool `json:"pools"`
	// Organisations holds the organisations with their tokens.
	Organisations []Organisation `json:"organisations"`
	// Source is the document as the operator wrote it, for reading it back.
	Source []byte `json:"source"`
}

// IsZero reports whether no configuration was ever accepted.
func (d Document) IsZero() bool {
	return d.Version == 0
}

// Queue returns the queue of a name.
func (d Document) Queue(name string) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// MatchQueue returns the queue with the longest prefix that a path on a host
// begins with.
func (d Document) MatchQueue(host, path string) (best Queue, ok bool) {
	for _, q := range d.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!ok || len(q.Prefix) > len(best.Prefix)) {
			best, ok = q, true
		}
	}
	return best, ok
}

// OrganisationByToken returns the organisation that holds a token.
func (d Document) OrganisationByToken(token string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if token != "" && o.HasToken(token) {
			return o, true
		}
	}
	return Organisation{}, false
}

// Organisation returns the organisation of a name.
func (d Document) Organisation(name string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}
