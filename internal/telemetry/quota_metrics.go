package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/pkg/quota"
)

var _ hosted.QuotaEvents = (*Log)(nil)

// TenantLimited records that requests of a tenant begin to be refused at this node.
func (l *Log) TenantLimited(tenant string, limit quota.Limit) {
	end(l.begin(eventTenantLimited).Str(fieldTenant, tenant).Float64("rate", limit.Rate).Float64("burst", limit.Burst))
}

// TenantLimitEnded records that no request of a tenant is refused any more.
func (l *Log) TenantLimitEnded(tenant string, admitted, refused uint64, took time.Duration) {
	end(l.begin(eventTenantLimitEnded).Str(fieldTenant, tenant).Uint64("admitted", admitted).Uint64("refused", refused).Int64(fieldDuration, took.Milliseconds()))
}

// quotaCollector exports what a node holds of the limits of tenants, and what it decided on
// requests. The reading bounds how many tenants have a label value of their own.
type quotaCollector struct {
	read                                  func() hosted.QuotaReading
	requests, limited, tokens, share, hub *prometheus.Desc
}

func newQuotaCollector(read func() hosted.QuotaReading) *quotaCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
	}
	return &quotaCollector{
		read:     read,
		requests: desc("quota_requests_total", "Requests of tenants that have a limit, by what the limit made of them.", fieldTenant, labelResult),
		limited:  desc("quota_limited_tenants", "Tenants of which requests are refused at present, at most one of those that are summed up."),
		tokens:   desc("quota_tokens", "Requests that this node may still admit without asking others.", "held"),
		share:    desc("quota_share", "Part of each limit that this node hands out: its own share, and what others have leased to it."),
		hub:      desc("quota_hub_silence_seconds", "Time since the hub of the zone has answered; 0 at the hub itself."),
	}
}

// Describe implements prometheus.Collector.
func (c *quotaCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.requests, c.limited, c.tokens, c.share, c.hub} {
		descs <- d
	}
}

// Collect implements prometheus.Collector. It sends nothing while no tenant with a limit
// has called.
func (c *quotaCollector) Collect(metrics chan<- prometheus.Metric) {
	r := c.read()
	if len(r.Tenants) == 0 {
		return
	}
	limited := 0.0
	for _, t := range r.Tenants {
		metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(t.Admitted), t.Tenant, "admitted")
		metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(t.Refused), t.Tenant, "refused")
		limited += boolValue(t.Limited)
	}
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(c.limited, limited)
	gauge(c.tokens, r.Holdings.Tokens, "borrowed")
	gauge(c.tokens, r.Holdings.Pooled, "pooled")
	gauge(c.share, r.Holdings.Share)
	gauge(c.hub, r.SinceHubAnswered.Seconds())
}
