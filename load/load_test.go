package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an answer that breaks off and counts as completed.
func TestAnswerThatBreaksOffIsUnknown(t *testing.T) {
	Convey("The answer is shorter than it states", t, func() {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(call.HeaderStatus, string(call.OK))
			w.Header().Set("Content-Length", "12")
			w.Write([]byte("short"))
		}))
		defer srv.Close()
		in := callgraph.Instance{HTTP: strings.TrimPrefix(srv.URL, "http://")}
		status := attempt(t.Context(), srv.Client(), in, callgraph.Ref{Service: "archiv", Operation: "store"}, "r1", "k")
		So(status, ShouldEqual, call.Unknown)
	})
}
