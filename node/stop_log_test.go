package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stopping node reporting the configuration service as
// unreachable because its own watches were cancelled.
func TestStopLogsNoOutage(t *testing.T) {
	Convey("A stopping node logs no unreachable dependency", t, func() {
		lines := memory.New()
		m, err := demo.Start(demo.Config{InitialConfig: examples.KesslerRaab, ConfigServiceAddr: "127.0.0.1:0", AnyPort: true,
			Log: &log.Logger{Handler: lines, Level: log.InfoLevel}})
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		m.Stop(ctx)
		stopped := 0
		for _, e := range lines.Entries {
			So(e.Message, ShouldNotBeIn, "platform_unreachable", "vm_list_unreachable")
			if e.Message == "node_stopped" {
				stopped++
			}
		}
		So(stopped, ShouldEqual, len(m.Nodes))
	})
}
