package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func readMetrics(v *vm) string {
	resp, err := http.Get("http://" + v.node.cfg.MetricsAddr + "/metrics")
	So(err, ShouldBeNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return string(b)
}

// metricLine returns the first line of a metric that contains all labels.
func metricLine(text, name string, labels ...string) string {
next:
	for _, l := range strings.Split(text, "\n") {
		if !strings.HasPrefix(l, name+"{") {
			continue
		}
		for _, label := range labels {
			if !strings.Contains(l, label) {
				continue next
			}
		}
		return l
	}
	return ""
}

// The metrics of a node must show the outcomes, durations and refusals of
// requests.
func TestMetricsReportOutcomes(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("Requests, attempts, queue waits, refusals and gauges are exported", t, func() {
		for range 3 {
			m.get(m.vms[0], "/read/x")
		}
		m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		m.get(m.vms[0], "/none/")
		m.vms[0].node.thresholds.RecordThreshold("read", 0, "archiv")
		for range 40 { // enough that some are above the admitted level
			m.get(m.vms[0], "/read/x")
		}
		text := readMetrics(m.vms[0])
		So(metricLine(text, "oatpin_request_duration_seconds_count", `class="action"`, `service="archiv"`, `status="ok"`), ShouldEndWith, " 1")
		So(metricLine(text, "oatpin_request_duration_seconds_bucket", `class="idempotent"`, `route="read"`), ShouldNotBeEmpty)
		So(metricLine(text, "oatpin_try_duration_seconds_count", `status="ok"`), ShouldNotBeEmpty)
		So(metricLine(text, "oatpin_refused_total", `cause="no_route"`), ShouldEndWith, " 1")
		So(metricLine(text, "oatpin_refused_total", `cause="overload"`), ShouldNotBeEmpty)
		So(metricLine(text, "oatpin_routes_version"), ShouldEndWith, " 1")
		So(metricLine(text, "oatpin_source_away"), ShouldEndWith, " 0")
		text = readMetrics(m.vms[1])
		So(metricLine(text, "oatpin_turn_wait_seconds_count", `admitted="true"`), ShouldNotBeEmpty)
		So(metricLine(text, "oatpin_target_limit"), ShouldEndWith, " 19")
	})
}

// BenchmarkObserveRequest measures the recording of one response.
func BenchmarkObserveRequest(b *testing.B) {
	s := newStats("n")
	rt := &testRoutes[0]
	b.ReportAllocs()
	for b.Loop() {
		s.observeRequest(rt, "archiv", "ok", 1)
	}
}
