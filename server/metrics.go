package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"umberladder/driver"
)

// metrics is what Prometheus may ask for.
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
			Help: "Final answers by class and kind."}, []string{"class", "answer"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberladder_answer_seconds",
			Help: "Time from a request's arrival to its final answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)},
			[]string{"class"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "umberladder_attempts_total",
			Help: "Attempts sent for answered requests."}),
		held:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "umberladder_held_requests", Help: "Requests without their final answer."}),
		conns: prometheus.NewGauge(prometheus.GaugeOpts{Name: "umberladder_node_connections", Help: "Connections to db nodes."}),
	}
	m.registry.MustRegister(m.answers, m.latency, m.attempts, m.held, m.conns)
	return m
}

func (m *metrics) answered(class string, a driver.Answer, err error, took time.Duration) {
	kind := [...]string{"served", "refused", "failed"}[a.Status]
	if err != nil && a.Status == driver.Served {
		kind = "left"
	}
	m.answers.WithLabelValues(class, kind).Inc()
	m.latency.WithLabelValues(class).Observe(took.Seconds())
	m.attempts.Add(float64(a.Attempts))
}

func (m *metrics) state(held, conns int) {
	m.held.Set(float64(held))
	m.conns.Set(float64(conns))
}
