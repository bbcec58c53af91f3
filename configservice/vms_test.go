package configservice

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// readVMs reads the VM list of s after a revision, blocking up to wait.
func readVMs(s *Server, after, wait string) (int, VMList) {
	return readVMsInEra(s, after, wait, "")
}

// readVMsInEra is readVMs for a reader that has the list of an era.
func readVMsInEra(s *Server, after, wait, era string) (int, VMList) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms?after="+after+"&wait="+wait+"&era="+era, nil))
	var list VMList
	json.Unmarshal(w.Body.Bytes(), &list)
	return w.Code, list
}

// A watch must return when a change becomes visible, without polling, and a
// reader with an unknown revision must get the full list.
func TestWatchVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := New(Config{VMListDelay: 3 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		Convey("The first read is full, a watch returns when the change is visible", t, func() {
			_, list := readVMs(s, "0", "20s")
			So(list, ShouldResemble, VMList{Era: s.era, Revision: 1, Full: true})
			start := time.Now()
			go func() { time.Sleep(time.Second); s.SetLeaving("archiv-2") }()
			_, list = readVMs(s, "1", "20s")
			So(list, ShouldResemble, VMList{Era: s.era, Revision: 2, VMs: []VM{{"archiv-2", true}}})
			So(time.Since(start), ShouldEqual, 4*time.Second)
		})
		Convey("A watch without a change returns 304", t, func() {
			code, _ := readVMs(s, "2", "20s")
			So(code, ShouldEqual, http.StatusNotModified)
		})
		Convey("An unknown revision gets the full list", t, func() {
			_, list := readVMs(s, "9", "20s")
			So(list, ShouldResemble, VMList{Era: s.era, Revision: 2, Full: true, VMs: []VM{{"archiv-2", true}}})
		})
	})
}

// Guards against changes that a reader misses after the service restarted and
// assigned their revisions again.
func TestReaderOfEarlierRunGetsFullVMList(t *testing.T) {
	Convey("The revisions of another run are unknown", t, func() {
		first, err := New(Config{})
		So(err, ShouldBeNil)
		first.SetLeaving("archiv-1")
		_, list := readVMs(first, "0", "1ms")
		So(list.Revision, ShouldEqual, 2)
		restarted, err := New(Config{})
		So(err, ShouldBeNil)
		restarted.SetLeaving("archiv-2")
		restarted.SetLeaving("archiv-3")
		code, list := readVMsInEra(restarted, "2", "1ms", list.Era)
		So(code, ShouldEqual, http.StatusOK)
		So(list.Full, ShouldBeTrue)
		So(list.VMs, ShouldHaveLength, 2)
		code, _ = readVMsInEra(restarted, "3", "1ms", list.Era)
		So(code, ShouldEqual, http.StatusNotModified)
	})
}
