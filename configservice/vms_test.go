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

// readVMs asks p for the VM list after a revision, waiting up to wait.
func readVMs(p *Platform, after, wait string) (int, VMList) {
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms?after="+after+"&wait="+wait, nil))
	var list VMList
	json.Unmarshal(w.Body.Bytes(), &list)
	return w.Code, list
}

// An operator takes archiv-2 away. A node that watches the list must be told
// once the list's lag has passed, without asking again and again; one that
// holds a revision of another platform process gets the whole list.
func TestVMListIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, err := New(Config{VMLag: 3 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		Convey("A first read is full, a watch answers when the change is visible", t, func() {
			_, list := readVMs(p, "0", "20s")
			So(list, ShouldResemble, VMList{Revision: 1, Full: true})
			start := time.Now()
			go func() { time.Sleep(time.Second); p.SetLeaving("archiv-2") }()
			_, list = readVMs(p, "1", "20s")
			So(list, ShouldResemble, VMList{Revision: 2, VMs: []VM{{"archiv-2", true}}})
			So(time.Since(start), ShouldEqual, 4*time.Second)
		})
		Convey("A watch without a change ends as not modified", t, func() {
			code, _ := readVMs(p, "2", "20s")
			So(code, ShouldEqual, http.StatusNotModified)
		})
		Convey("An unknown revision gets the full list", t, func() {
			_, list := readVMs(p, "9", "20s")
			So(list, ShouldResemble, VMList{Revision: 2, Full: true, VMs: []VM{{"archiv-2", true}}})
		})
	})
}
