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

// leave posts one call of service.op to base and closes the connection
// after 100 ms, as a client that gives up does.
func leave(base, service, op string, key call.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/call/"+service+"/"+op, nil)
	if err != nil {
		return
	}
	req.Header.Set(call.HeaderKey, string(key))
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// An editor closes the page while a read runs at its target: the target is
// told at once. An editor who closes the page on an approval and sends it
// again must get the first run's whole answer: an approval broken off half
// way could be told neither done nor not run.
func TestGivenUpReadIsCancelledAndApprovalIsNot(t *testing.T) {
	Convey("A read given up ends at its target", t, func() {
		ended := make(chan struct{})
		tg := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		defer tg.Close()
		base := startNode(t, fakeText(t, "idempotent = true\ndeadline = 10s", startFakePeer(t, breaksOff)), "back-1", tg.URL)
		leave(base, "back", "op", call.NewKey("halle-nord"))
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Error("the target still works on a read whose caller has left")
		}
	})
	Convey("An approval given up runs on, and its next try gets the answer", t, func() {
		tg := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-r.Context().Done():
			}
		}))
		defer tg.Close()
		base := startNode(t, fakeText(t, "idempotent = false\ndeadline = 10s", startFakePeer(t, breaksOff)), "back-1", tg.URL)
		key := call.NewKey("halle-nord")
		leave(base, "back", "op", key)
		st := callKeyed(t, base, "back", "op", key)
		So(st, ShouldEqual, call.OK)
	})
}
