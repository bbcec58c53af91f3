package configservice

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// An operator submits a text over the service's megabyte. Its beginning
// alone may be a valid text: accepted, it would take every service behind
// the cut out of force.
func TestOversizedTextIsRefusedWhole(t *testing.T) {
	Convey("A text over the limit is refused and the one in force stays", t, func() {
		p, err := New(Config{})
		So(err, ShouldBeNil)
		text := []byte("version = 1\n[service.a]\nslots = 1\n[service.a.operation.r]\nclass = sheddable\n" +
			"[service.a.instance.a-1]\ndc = d\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\n;")
		text = append(text, bytes.Repeat([]byte("x"), maxText)...)
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/config", bytes.NewReader(text)))
		So(w.Code, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(p.current, ShouldBeNil)
	})
}
