package sidecar

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// slowUpload is a request whose body is sent in two parts.
type slowUpload struct {
	body *io.PipeWriter
	code chan int
}

// beginUpload sends the head of a request and the first part of its body to v's node,
// and waits until the node waits for the rest.
func (m *mesh) beginUpload(v *vm, path string, header http.Header) *slowUpload {
	pr, pw := io.Pipe()
	u := &slowUpload{body: pw, code: make(chan int, 1)}
	go func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+v.node.cfg.CallerAddr+path, pr)
		if err != nil {
			m.t.Error(err)
			return
		}
		req.Host = "h"
		maps.Copy(req.Header, header)
		req.Header.Set("Request-Id", "slow"+strings.ReplaceAll(path, "/", "-"))
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			m.t.Error(err)
			u.code <- 0
			return
		}
		resp.Body.Close()
		u.code <- resp.StatusCode
	}()
	io.WriteString(pw, "first ")
	for deadline := time.Now().Add(2 * time.Second); v.node.activeRequests.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			m.t.Fatal("the node does not take the request")
		}
	}
	return u
}

// end sends the rest of the body and returns the status of the answer.
func (u *slowUpload) end() int {
	io.WriteString(u.body, "second")
	u.body.Close()
	return <-u.code
}

// moveTo sets version 2 of the routes at a node: all requests go to a service, and one
// route is dropped.
func (v *vm) moveTo(t testing.TB, service, dropped string) {
	var moved []directory.Route
	for _, rt := range testRoutes {
		if rt.Name != dropped {
			rt.Shares = []directory.Share{{Service: service, Weight: 1}}
			moved = append(moved, rt)
		}
	}
	r, err := directory.NewRoutes(2, directory.Limits{BodyBytes: 1000}, moved)
	if err != nil {
		t.Fatal(err)
	}
	v.dir.Apply([]directory.Change{{Routes: r}}, v.dir.Revision()+1)
}

// Guards against a request that is run by the service that its route has left, because
// its body took longer to arrive than the change to be in force.
func TestRequestIsRoutedByVersionAtEndOfItsBody(t *testing.T) {
	for _, path := range []string{"/publish/x", "/read/x"} {
		Convey(path+" is run by the new service", t, func() {
			m := newMesh(t, "archiv", "versand")
			u := m.beginUpload(m.vms[0], path, nil)
			m.vms[0].moveTo(t, "versand", "")
			So(u.end(), ShouldEqual, http.StatusOK)
			id := "slow" + strings.ReplaceAll(path, "/", "-")
			So(m.vms[0].target.runCount(id), ShouldEqual, 0)
			So(m.vms[1].target.runCount(id), ShouldEqual, 1)
		})
	}
	Convey("One whose route was removed is not run", t, func() {
		m := newMesh(t, "archiv", "versand")
		u := m.beginUpload(m.vms[0], "/publish/x", nil)
		m.vms[0].moveTo(t, "archiv", "publish")
		So(u.end(), ShouldEqual, http.StatusNotFound)
		So(m.vms[0].target.runCount("slow-publish-x"), ShouldEqual, 0)
	})
	Convey("One whose route has not changed is run as before", t, func() {
		m := newMesh(t, "archiv", "versand")
		u := m.beginUpload(m.vms[0], "/publish/x", nil)
		m.vms[0].moveTo(t, "archiv", "lookup")
		So(u.end(), ShouldEqual, http.StatusOK)
		So(m.vms[0].target.runCount("slow-publish-x"), ShouldEqual, 1)
	})
}

// Guards against a request that is run although its key was revoked, or moved to an
// account that is over its limit, while its body was on the way.
func TestKeyIsCheckedAtEndOfBody(t *testing.T) {
	full := account.Account{Name: "full", Keys: large.Keys, Rate: 0.001, Burst: 1}
	for _, c := range []struct {
		name   string
		later  account.Account
		status int
	}{
		{"revoked", small, http.StatusUnauthorized},
		{"moved to an account over its limit", full, http.StatusTooManyRequests},
		{"unchanged", large, http.StatusOK},
	} {
		Convey(c.name, t, func() {
			m := newAccountMesh(t)
			u := m.beginUpload(m.vms[0], "/publish/x", http.Header{"Authorization": {"Key kl"}})
			m.accounts = newAccountRegistry(t, c.later)
			m.updateAll(3)
			if c.later.Rate > 0 {
				for code := 0; code != http.StatusTooManyRequests; {
					code, _ = m.sendWithHeader(t, m.vms[0], "/read/x", http.Header{"Authorization": {"Key kl"}})
				}
			}
			So(u.end(), ShouldEqual, c.status)
			want := 0
			if c.status == http.StatusOK {
				want = 1
			}
			So(m.vms[1].target.runCount("slow-publish-x"), ShouldEqual, want)
		})
	}
}
