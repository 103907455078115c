package intake

import (
	"sync"
	"time"
)

// A Budget bounds the bytes of bodies that a process holds. A nil *Budget has no bound. Its
// methods may be called from any goroutine.
type Budget struct {
	limit int64
	mu    sync.Mutex
	used  int64
	open  map[*Charge]bool
}

// NewBudget returns a Budget for the given number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{
		limit: limit,
		open:  map[*Charge]bool{},
	}
}

// Used returns the number of bytes that are charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// A Charge is the part of a Budget that one body uses.
type Charge struct {
	budget *Budget
	// giveUp is called once if the body is given up for another one.
	giveUp     func()
	bytes      int64
	lastAt     time.Time
	isComplete bool
	isGivenUp  bool
}

// Open returns the charge of a body that begins. The caller must call Release at the body's end,
// whatever its outcome is. giveUp must not block and not call the Budget.
func (b *Budget) Open(p Progress, giveUp func()) *Charge {
	c := &Charge{
		budget: b,
		giveUp: giveUp,
		lastAt: p.lastAt,
	}
	if b == nil {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[c] = true
	return c
}

// Grow charges for what has arrived of a body. It returns false if the body has to be given up.
func (c *Charge) Grow(p Progress, now time.Time) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.lastAt = p.lastAt
	wanted := p.charge() - c.bytes
	if c.isGivenUp || wanted <= 0 {
		return !c.isGivenUp
	}
	if !b.makeRoom(wanted, c, now) {
		return false
	}
	c.bytes += wanted
	b.used += wanted
	return true
}

// makeRoom reports whether bytes of a body fit, after it has given up others if need be.
func (b *Budget) makeRoom(wanted int64, c *Charge, now time.Time) bool {
	free := b.limit - b.used
	if wanted <= free {
		return true
	}
	var others []*Charge
	var holders []holder
	for other := range b.open {
		if other == c || other.isComplete || other.bytes == 0 {
			continue
		}
		others = append(others, other)
		holders = append(holders, holder{
			bytes:  other.bytes,
			lastAt: other.lastAt,
		})
	}
	switch d := makeRoom(free, wanted, holders, now).(type) {
	case accept:
		return true
	case evict:
		for _, i := range d.victims {
			others[i].isGivenUp = true
			b.release(others[i])
			others[i].giveUp()
		}
		return true
	case refuse:
		return false
	}
	return false
}

// Complete records that the body has arrived. It is not given up any more, and what it holds
// stays charged until Release.
func (c *Charge) Complete() bool {
	if c.budget == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.isComplete = true
	return !c.isGivenUp
}

// Release gives back what the body was charged for. Further calls do nothing.
func (c *Charge) Release() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.release(c)
}

func (b *Budget) release(c *Charge) {
	b.used -= c.bytes
	c.bytes = 0
	delete(b.open, c)
}
