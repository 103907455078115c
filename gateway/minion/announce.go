package minion

import (
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
)

// AnnounceInterval is the interval at which minions announce themselves.
const AnnounceInterval = time.Second

// AnnounceReply returns the reply to an announcement. The minion may start
// requests for as long as the lease of this gateway remains valid, and none if
// its data centre is out of service.
func AnnounceReply(s admission.State, now time.Time, dataCentre string) api.AnnounceReply {
	r := api.AnnounceReply{
		AcceptForMS: s.Lease().Remaining(now).Milliseconds(),
		IntervalMS:  AnnounceInterval.Milliseconds(),
	}
	if s.View().IsOutOfService(dataCentre) {
		r.AcceptForMS = 0
	}
	return r
}
