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
	for _, o := range list {
		for _, u := range o.Limit.LimitedUses(o.Used) {
			set(limitGauge, o.Organisation, u.Resource, u.Limit)
			set(useGauge, o.Organisation, u.Resource, u.Used)
		}
	}
	for _, name := range metrics.ListMetricNames() {
		isOurs := strings.HasPrefix(name, limitGauge) || strings.HasPrefix(name, useGauge)
		if isOurs && !exported[name] {
			metrics.UnregisterMetric(name)
		}
	}
}
