package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/gateway/caller"
	gatewayminion "github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/loop"
	"github.com/plantainladder/plantainladder/minion"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

const (
	organisation = "o"
	slots        = 8
	tickInterval = 20 * time.Millisecond
)

type eventLoop = loop.Loop[admission.State, admission.Event, admission.Effect]

// startGateway starts a handler whose state has a lease and all slots of the
// given minions, by address, and returns the handler's URL and its event loop.
func startGateway(addresses map[string]string) (string, *eventLoop) {
	router := caller.NewEffectRouter()
	l := loop.New(loop.Config[admission.State, admission.Event, admission.Effect]{
		Initial: admission.NewState(admission.Config{
			Gateway:   "g1",
			MaxQueued: 100,
		}),
		Step:        admission.State.Step,
		Perform:     router.Perform,
		Clock:       time.Now,
		QueueLength: 100,
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go l.Run(ctx)
	sequence := uint64(0)
	go l.Tick(ctx, tickInterval, func() admission.Event {
		sequence++
		return pollReply(sequence, addresses)
	})
	go l.Tick(ctx, tickInterval, func() admission.Event {
		return admission.Tick{}
	})
	mux := http.NewServeMux()
	caller.NewHandler(caller.Config{
		Gateway:        "g1",
		EffectRouter:   router,
		Post:           l.Post,
		State:          l.State,
		Clock:          time.Now,
		Minions:        gatewayminion.NewClient("", ""),
		AllowAnonymous: true,
		Logger:         zerolog.Nop(),
	}).Register(mux)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	Eventually(func() bool { return l.State().Lease().IsValid(time.Now()) }).Should(BeTrue())
	return server.URL, l
}

// spendRetryBudget spends the retry budget for a time.
func spendRetryBudget(l *eventLoop, d time.Duration) {
	const firstToken = 1 << 32
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	for token := uint64(firstToken); ctx.Err() == nil; token++ {
		_ = l.Post(ctx, admission.RequestReceived{
			Request: admission.Request{
				Token:        token,
				Organisation: organisation,
				Class:        admission.Normal{},
				Deadline:     time.Now().Add(time.Minute),
				IsRetry:      true,
			},
		})
		_ = l.Post(ctx, admission.RequestFinished{
			Token:  token,
			Result: admission.NotSent{},
		})
		time.Sleep(time.Millisecond)
	}
}

func pollReply(sequence uint64, addresses map[string]string) admission.PollReplyReceived {
	r := control.PollReply{
		Leader: true,
		Index:  1,
		Contracts: []plantainladder.Versioned[contract.Contract]{
			{
				Index: 1,
				Value: contract.Contract{
					Organisation: organisation,
					CeilingSlots: slots,
					Classes:      contract.Classes(),
				},
			},
		},
		Grant: lease.Grant{
			Sequence: sequence,
			Units: map[lease.Resource]int{
				lease.OrganisationRequests(organisation): slots,
			},
		},
	}
	for name, address := range addresses {
		r.Grant.Units[lease.MinionSlots(name)] = slots
		r.Minions = append(r.Minions, control.RelayedAnnouncement{
			Announcement: minion.Announcement{
				Name:       name,
				Address:    address,
				DataCentre: "a",
				Sequence:   sequence,
				Slots:      slots,
			},
		})
	}
	return admission.PollReplyReceived{
		SentAt: time.Now(),
		Reply:  r,
	}
}

// minions are stand-ins that answer nothing to the first copies they receive,
// and answer all others.
type minions struct {
	// silent is the number of copies that are not answered. The connection of each
	// is closed at once if breaksOff is true.
	silent    int
	breaksOff bool
	mu        sync.Mutex
	// copies holds the name of the minion of each copy received.
	copies []string
}

// start starts a stand-in for each name and returns their addresses.
func (m *minions) start(names ...string) map[string]string {
	addresses := map[string]string{}
	for _, name := range names {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if m.receive(name) <= m.silent {
				m.leaveUnanswered(w, r)
				return
			}
			w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
			_, _ = io.WriteString(w, "done")
		}))
		DeferCleanup(server.Close)
		addresses[name] = strings.TrimPrefix(server.URL, "http://")
	}
	return addresses
}

func (m *minions) leaveUnanswered(w http.ResponseWriter, r *http.Request) {
	if !m.breaksOff {
		<-r.Context().Done()
		return
	}
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.Close()
}

// receive records a copy and returns the number of copies so far.
func (m *minions) receive(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies = append(m.copies, name)
	return len(m.copies)
}

func (m *minions) received() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.copies)
}

// requestDeadline is the time that a request has.
const requestDeadline = 3 * time.Second

// request sends an idempotent request and returns the outcome.
func request(url string) string {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/requests", strings.NewReader("work"))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(api.HeaderOrganisation, organisation)
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	return resp.Header.Get(api.HeaderOutcome)
}

var _ = Describe("An idempotent request", func() {
	DescribeTable("is answered by a new copy while time is left, although earlier copies stay silent:",
		func(silent int, names ...string) {
			m := &minions{
				silent: silent,
			}
			url, _ := startGateway(m.start(names...))
			Expect(request(url)).To(Equal(api.OutcomeDone))
			copies := m.received()
			Expect(copies).To(HaveLen(silent + 1))
			n := min(len(copies), len(names))
			Expect(uniqueNames(copies[:n])).To(HaveLen(n), "each minion before one is tried again")
		},
		Entry("the first", 1, "m1", "m2", "m3"),
		Entry("the first on the only minion", 1, "m1"),
		Entry("the hedge too", 2, "m1", "m2", "m3"),
		Entry("one on each minion", 3, "m1", "m2", "m3"),
	)

	It("is hedged later if the retry budget is spent at first", func() {
		m := &minions{
			silent: 1,
		}
		url, l := startGateway(m.start("m1", "m2", "m3"))
		go spendRetryBudget(l, time.Second)
		Expect(request(url)).To(Equal(api.OutcomeDone))
		Expect(m.received()).To(HaveLen(2))
	})

	It("does not crash one minion after the other", func() {
		m := &minions{
			silent:    100,
			breaksOff: true,
		}
		url, _ := startGateway(m.start("m1", "m2", "m3", "m4", "m5", "m6"))
		Expect(request(url)).To(Equal(api.OutcomeUnknown))
		Expect(m.received()).To(HaveLen(3))
	})

	It("is sent at most four times if no copy is answered", func() {
		m := &minions{
			silent: 100,
		}
		url, _ := startGateway(m.start("m1", "m2", "m3", "m4", "m5", "m6"))
		Expect(request(url)).To(Equal(api.OutcomeUnknown))
		Expect(m.received()).To(HaveLen(4))
	})
})

func uniqueNames(names []string) []string {
	names = slices.Sorted(slices.Values(names))
	return slices.Compact(names)
}
