package node

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	plantainladder "github.com/plantainladder/plantainladder"
)

// updateLimitGauges sets the gauges of the organisations with a limit, and removes those of
// organisations that have none any more.
func (m *meters) updateLimitGauges(list []plantainladder.LimitUse) {
	m.limitMu.Lock()
	defer m.limitMu.Unlock()
	exported := map[string]bool{}
	set := func(name, organisation, resource string, v int) {
		full := name + `{organisation=` + strconv.Quote(organisation) + `,resource="` + resource + `"}`
		metrics.GetOrCreateGauge(full, nil).Set(float64(v))
		exported[full] = true
	}
	for _, u := range list {
		for _, r := range []struct {
			name        string
			limit, used int
		}{
			{"milli-cores", u.Limit.MilliCores, u.Used.MilliCores},
			{"memory-mb", u.Limit.MemoryMB, u.Used.MemoryMB},
			{"accelerators", u.Limit.Accelerators, u.Used.Accelerators},
		} {
			if r.limit > 0 {
				set("controller_organisation_limit", u.Organisation, r.name, r.limit)
				set("controller_organisation_use", u.Organisation, r.name, r.used)
			}
		}
	}
	for name := range m.limitGauges {
		if !exported[name] {
			metrics.UnregisterMetric(name)
		}
	}
	m.limitGauges = exported
}
