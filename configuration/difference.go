package configuration

import (
	"fmt"
	"slices"
	"strconv"
)

// A Difference is what differs between the entries of a name in two documents.
type Difference struct {
	// List and Name tell the entry.
	List List
	Name string
	// Change is an Added, Removed, FieldChanged or TokensChanged.
	Change Change
}

// A Change says how an entry differs from the one of the same name in another document.
//
//sumtype:decl
type Change interface {
	change()
}

// Added means that only the newer document has the entry.
type Added struct{}

// Removed means that only the older document has the entry.
type Removed struct{}

// A FieldChanged has the two values of a field.
type FieldChanged struct {
	Field    string
	Old, New string
}

// A TokensChanged says how many tokens of an organisation were added and removed. The
// tokens themselves are secret.
type TokensChanged struct {
	Added, Removed int
}

func (Added) change()         {}
func (Removed) change()       {}
func (FieldChanged) change()  {}
func (TokensChanged) change() {}

// DifferencesFrom returns what differs in d from an older document, apart from the
// version: the lists one after the other, each in the order of d and then what was
// removed. If entries share a name, the first counts.
func (d Document) DifferencesFrom(older Document) (out []Difference) {
	olderLists := older.lists()
	for i, l := range d.lists() {
		out = append(out, l.differencesFrom(olderLists[i])...)
	}
	return out
}

// namedEntries are the entries of a list of a document.
type namedEntries struct {
	list    List
	entries []entry
}

// entry is an entry of a list with the values to compare.
type entry struct {
	name   string
	fields []field
	tokens []string
}

type field struct {
	name, value string
}

func (d Document) lists() []namedEntries {
	queues := make([]entry, 0, len(d.Queues))
	for _, q := range d.Queues {
		queues = append(queues, q.entry())
	}
	pools := make([]entry, 0, len(d.Pools))
	for _, p := range d.Pools {
		pools = append(pools, p.entry())
	}
	organisations := make([]entry, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		organisations = append(organisations, o.entry())
	}
	return []namedEntries{
		{
			list:    ListQueues,
			entries: queues,
		},
		{
			list:    ListPools,
			entries: pools,
		},
		{
			list:    ListOrganisations,
			entries: organisations,
		},
	}
}

func (q Queue) entry() entry {
	return entry{
		name: q.Name,
		fields: []field{
			{"host", q.Host},
			{"prefix", q.Prefix},
			{"pool", q.Pool},
			{"priority", strconv.Itoa(q.Priority)},
			{"max-attempts", strconv.Itoa(q.MaxAttempts)},
			{"stretch", strconv.FormatFloat(q.Stretch, 'g', -1, 64)},
			{"slack", q.Slack.String()},
			{"timeout", q.Timeout.String()},
			{"public", strconv.FormatBool(q.Public)},
			{"is-advised", strconv.FormatBool(q.RequiresPlacementAdvisor)},
		},
	}
}

func (p Pool) entry() entry {
	return entry{
		name: p.Name,
		fields: []field{
			{"guards-capacity", strconv.FormatBool(p.WorkersEnforceCapacity)},
		},
	}
}

func (o Organisation) entry() entry {
	return entry{
		name: o.Name,
		fields: []field{
			{"guaranteed-accelerators", strconv.Itoa(o.GuaranteedAccelerators)},
			{"weight", strconv.FormatFloat(o.Weight, 'g', -1, 64)},
			{"limit", fmt.Sprintf("%d milli-cores, %d MB, %d accelerators", o.Limit.MilliCores, o.Limit.MemoryMB, o.Limit.Accelerators)},
		},
		tokens: o.Tokens,
	}
}

// byName returns the first entry of each name.
func (l namedEntries) byName() map[string]entry {
	first := make(map[string]entry, len(l.entries))
	for _, e := range slices.Backward(l.entries) {
		first[e.name] = e
	}
	return first
}

func (l namedEntries) differencesFrom(older namedEntries) (out []Difference) {
	seen := make(map[string]bool, len(l.entries))
	report := func(name string, changes ...Change) {
		for _, c := range changes {
			out = append(out, Difference{
				List:   l.list,
				Name:   name,
				Change: c,
			})
		}
	}
	previous := older.byName()
	for _, e := range l.entries {
		if seen[e.name] {
			continue
		}
		seen[e.name] = true
		if p, existed := previous[e.name]; existed {
			report(e.name, e.changesFrom(p)...)
		} else {
			report(e.name, Added{})
		}
	}
	for _, e := range older.entries {
		if !seen[e.name] {
			seen[e.name] = true
			report(e.name, Removed{})
		}
	}
	return out
}

func (e entry) changesFrom(older entry) (changes []Change) {
	for i, f := range e.fields {
		if previous := older.fields[i]; previous.value != f.value {
			changes = append(changes, FieldChanged{
				Field: f.name,
				Old:   previous.value,
				New:   f.value,
			})
		}
	}
	tokens := TokensChanged{
		Added:   countMissing(e.tokens, older.tokens),
		Removed: countMissing(older.tokens, e.tokens),
	}
	if tokens != (TokensChanged{}) {
		changes = append(changes, tokens)
	}
	return changes
}

// countMissing returns how many different elements of list other does not have.
func countMissing(list, other []string) int {
	missing := make(map[string]bool, len(list))
	for _, s := range list {
		missing[s] = true
	}
	for _, s := range other {
		delete(missing, s)
	}
	return len(missing)
}
