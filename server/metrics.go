package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"umberladder/driver"
)

// metrics holds the Prometheus metrics.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts prometheus.Counter
	held     prometheus.Gauge
	conns    prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberladder_answers_total",
			Help: "Final answers by class and outcome."}, []string{"class", "answer"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberladder_answer_seconds",
			Help: "Time from a request's arrival to its final answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)},
			[]string{"class"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "umberladder_attempts_total",
			Help: "Attempts sent to nodes for answered requests."}),
		held:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "umberladder_held_requests", Help: "Requests without a final answer."}),
		conns: prometheus.NewGauge(prometheus.GaugeOpts{Name: "umberladder_node_connections", Help: "Connections to database nodes."}),
	}
	m.registry.MustRegister(m.answers, m.latency, m.attempts, m.held, m.conns)
	return m
}

func (m *metrics) observeAnswer(class string, a driver.Answer, err error, took time.Duration) {
	kind := [...]string{"served", "refused", "failed"}[a.Status]
	if err != nil && a.Status == driver.Served {
		kind = "left"
	}
	m.answers.WithLabelValues(class, kind).Inc()
	m.latency.WithLabelValues(class).Observe(took.Seconds())
	m.attempts.Add(float64(a.Attempts))
}

// gateMetrics collects the figures of the admission gate.
type gateMetrics struct{ frontEnd *frontEnd }

var (
	gateArrivals      = prometheus.NewDesc("umberladder_admission_total", "Arrived requests by verdict: taken, or the reason of the refusal.", []string{"verdict"}, nil)
	gateLimit         = prometheus.NewDesc("umberladder_admission_limit", "Maximum number of requests in flight.", []string{"slice", "pool"}, nil)
	gateOpen          = prometheus.NewDesc("umberladder_admission_open", "Requests in flight.", []string{"slice", "pool"}, nil)
	gateShedForMemory = prometheus.NewDesc("umberladder_admission_shed_for_memory", "Classes refused because the driver is near its memory limit.", nil, nil)
	gateShedClasses   = prometheus.NewDesc("umberladder_admission_shed_classes", "Classes refused because the event loop is late.", nil, nil)
)

// Describe implements prometheus.Collector.
func (g gateMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{gateArrivals, gateLimit, gateOpen, gateShedClasses, gateShedForMemory} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g gateMetrics) Collect(out chan<- prometheus.Metric) {
	st := g.frontEnd.stats()
	for verdict, n := range st.Counts {
		out <- prometheus.MustNewConstMetric(gateArrivals, prometheus.CounterValue, float64(n), verdict)
	}
	for _, p := range st.Pools {
		name := map[bool]string{true: "primary", false: "replicas"}[p.Primary]
		out <- prometheus.MustNewConstMetric(gateLimit, prometheus.GaugeValue, p.Limit, p.Slice, name)
		out <- prometheus.MustNewConstMetric(gateOpen, prometheus.GaugeValue, float64(p.InFlight), p.Slice, name)
	}
	out <- prometheus.MustNewConstMetric(gateShedForMemory, prometheus.GaugeValue, float64(st.MemoryLevel))
	out <- prometheus.MustNewConstMetric(gateShedClasses, prometheus.GaugeValue, float64(st.LoopLevel))
}

// streamMetrics collects the counts of open calls and watches.
type streamMetrics struct{ streams *streams }

var (
	streamsOpen          = prometheus.NewDesc("umberladder_streams_open", "Open calls and watches.", []string{"kind"}, nil)
	callsIncomplete      = prometheus.NewDesc("umberladder_calls_incomplete", "Calls whose request has not arrived as a whole.", nil, nil)
	callsIncompleteEnded = prometheus.NewDesc("umberladder_calls_incomplete_ended_total", "Calls ended because their request did not arrive in time, or to make room.", nil, nil)
	streamsRefused       = prometheus.NewDesc("umberladder_streams_refused_total", "Calls and watches refused because too many were open.", nil, nil)
)

// Describe implements prometheus.Collector.
func (s streamMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- streamsOpen
	out <- streamsRefused
	out <- callsIncomplete
	out <- callsIncompleteEnded
}

// Collect implements prometheus.Collector.
func (s streamMetrics) Collect(out chan<- prometheus.Metric) {
	watches := s.streams.watches.Load()
	out <- prometheus.MustNewConstMetric(streamsOpen, prometheus.GaugeValue, float64(s.streams.open.Load()-watches), "call")
	out <- prometheus.MustNewConstMetric(streamsOpen, prometheus.GaugeValue, float64(watches), "watch")
	out <- prometheus.MustNewConstMetric(streamsRefused, prometheus.CounterValue, float64(s.streams.refused.Load()))
	incomplete, ended := s.streams.incoming.counts()
	out <- prometheus.MustNewConstMetric(callsIncomplete, prometheus.GaugeValue, float64(incomplete))
	out <- prometheus.MustNewConstMetric(callsIncompleteEnded, prometheus.CounterValue, float64(ended))
}

func (m *metrics) setGauges(held, conns int) {
	m.held.Set(float64(held))
	m.conns.Set(float64(conns))
}
