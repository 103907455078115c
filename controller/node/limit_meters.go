package node

import (
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	plantainladder "github.com/plantainladder/plantainladder"
)

// Gauges of what an organisation may use and what it uses.
const (
	limitGauge = "controller_organisation_limit"
	useGauge   = "controller_organisation_use"
)

// updateLimitGauges sets the gauges of the organisations with a limit, and removes those of
// organisations that have none any more.
func updateLimitGauges(list []plantainladder.LimitUse) {
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
				set(limitGauge, u.Organisation, r.name, r.limit)
				set(useGauge, u.Organisation, r.name, r.used)
			}
		}
	}
	for _, name := range metrics.ListMetricNames() {
		isOurs := strings.HasPrefix(name, limitGauge) || strings.HasPrefix(name, useGauge)
		if isOurs && !exported[name] {
			metrics.UnregisterMetric(name)
		}
	}
}
