package minion

import (
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
)

// AnnounceInterval is the period of minions' announcements.
const AnnounceInterval = time.Second

// AnnounceReply returns the answer to an announcement: the minion may begin
// requests as long as this gateway may act on its view, and not at all if its
// data centre is out of service.
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
