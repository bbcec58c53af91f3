package configservice

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A configuration over the size limit must be rejected, not truncated: the
// beginning may be valid by itself and lack services.
func TestOversizedConfigIsRejected(t *testing.T) {
	Convey("A configuration over the size limit is rejected", t, func() {
		s, err := New(Config{})
		So(err, ShouldBeNil)
		text := []byte("version = 1\n[service.a]\nslots = 1\n[service.a.operation.r]\nclass = sheddable\n" +
			"[service.a.instance.a-1]\ndc = d\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\n;")
		text = append(text, bytes.Repeat([]byte("x"), maxConfigBytes)...)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/config", bytes.NewReader(text)))
		So(w.Code, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(s.current, ShouldBeNil)
	})
}
