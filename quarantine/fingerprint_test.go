package quarantine

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

func request(method, uri, body string) *call.Request {
	return &call.Request{Body: []byte(body), HTTP: &call.HTTPRequest{Method: method, Host: "h", URI: uri}}
}

func TestFingerprintDependsOnContentOnly(t *testing.T) {
	Convey("IDs, callers and headers make no difference; method, URI and body do", t, func() {
		a, b := request("POST", "/a/b?x=1", "n"), request("POST", "/a/b?x=1", "n")
		a.ID, b.ID = "1", "2"
		a.HTTP.Caller, b.HTTP.Caller = "archiv", "versand"
		a.HTTP.Header = []call.Field{{Name: "Request-Id", Value: "1"}}
		So(FingerprintOf(a), ShouldEqual, FingerprintOf(b))
		for _, other := range []*call.Request{request("PUT", "/a/b?x=1", "n"), request("POST", "/a/b?x=2", "n"), request("POST", "/a/b?x=1", "m"), request("POST", "/a/b", "?x=1n")} {
			So(FingerprintOf(other), ShouldNotEqual, FingerprintOf(a))
		}
	})
}
