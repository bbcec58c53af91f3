package node_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/settings"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against each call opening its own connection to an unreachable peer,
// which would flood it when it comes back.
func TestConcurrentCallsShareOneDial(t *testing.T) {
	Convey("A hundred concurrent calls cause one dial and are answered not_run", t, func() {
		var dials atomic.Int32
		g := fakeGraph(t, "idempotent = true\ndeadline = 5s", startFakePeer(t, disconnect))
		base := startNodeWith(t, g, node.Config{
			Settings: settings.Node{Instance: "front-1", Target: "http://127.0.0.1:1"},
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				dials.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		var refused atomic.Int32
		var wg sync.WaitGroup
		for range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if st := callOp(t, base, "back", "op"); st == call.NotRun {
					refused.Add(1)
				}
			}()
		}
		wg.Wait()
		So(refused.Load(), ShouldEqual, 100)
		So(dials.Load(), ShouldEqual, 1)
	})
}
