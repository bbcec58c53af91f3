package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	. "github.com/smartystreets/goconvey/convey"
)

// resetTarget is a target that answers before it has read the body of a request, sends
// a part of an answer without length and resets the connection.
func resetTarget(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\nnine byte", platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID), platform.Headers.Signature, id)
		c.(*net.TCPConn).SetLinger(0)
	})
}

// Guards against a part of an answer that callers get as a whole one, since its
// connection was reset beside their upload.
func TestUploadWhoseAnswerIsResetFails(t *testing.T) {
	const uploads, uploadBytes = 40, 8 << 20
	vms := newCluster(t).sidecars(sidecarsConfig{network: "127.0.23", services: []string{"front", "back"}, target: resetTarget,
		limits: directory.Limits{BodyBytes: uploadBytes}, memoryMB: usualMemoryMB})
	body := make([]byte, uploadBytes)
	for _, service := range []string{"front", "back"} {
		Convey("The instance is that of "+service, t, func() {
			codes := map[int]int{}
			for i := range uploads {
				codes[vms[0].upload("/"+service+"/x", fmt.Sprint(service, i), bytes.NewReader(body))]++
			}
			// Once the instance has failed often, requests are refused before it.
			So(codes[http.StatusBadGateway], ShouldBeGreaterThan, 0)
			So(codes[http.StatusBadGateway]+codes[http.StatusServiceUnavailable], ShouldEqual, uploads)
		})
	}
}
