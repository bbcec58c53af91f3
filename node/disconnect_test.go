package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// callAndDisconnect posts one call of service.op and closes the connection
// after 100 ms.
func callAndDisconnect(base, service, op string, key call.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/call/"+service+"/"+op, nil)
	if err != nil {
		return
	}
	req.Header.Set(call.HeaderIdempotencyKey, string(key))
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Guards against a client disconnect cancelling a non-idempotent call midway,
// which would leave its outcome unknown, and against an idempotent call
// running on after its client has gone.
func TestDisconnectCancelsOnlyIdempotentCall(t *testing.T) {
	Convey("An idempotent call is cancelled at the target when its client disconnects", t, func() {
		ended := make(chan struct{})
		tg := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		defer tg.Close()
		base := startNode(t, fakeGraph(t, "idempotent = true\ndeadline = 10s", startFakePeer(t, disconnect)), "back-1", tg.URL)
		callAndDisconnect(base, "back", "op", call.NewKey("halle-nord"))
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Error("request context at the target not cancelled 5 s after the client disconnected")
		}
	})
	Convey("A non-idempotent call runs on, and a retry with its key gets the answer", t, func() {
		tg := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-r.Context().Done():
			}
		}))
		defer tg.Close()
		base := startNode(t, fakeGraph(t, "idempotent = false\ndeadline = 10s", startFakePeer(t, disconnect)), "back-1", tg.URL)
		key := call.NewKey("halle-nord")
		callAndDisconnect(base, "back", "op", key)
		st := callKeyed(t, base, "back", "op", key)
		So(st, ShouldEqual, call.OK)
	})
}
