package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// oddEntry returns an entry that names a service of the routes.
func oddEntry(addr, slots, coldLeft, born string) string {
	return `{"Address":"` + addr + `","born":` + born + `,"Info":{"Service":"archiv","Version":"v1","Zone":"nord","Slots":` + slots +
		`},"Status":{"State":"ready","Seq":1,"ColdLeft":"` + coldLeft + `"}}`
}

// oddEntries are entries that another program may leave among those of the instances.
// The last three are taken for instances.
var oddEntries = []string{
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	oddEntry("127.0.0.99:99999", "4", "0ms", "1"),
	oddEntry("127.0.0.99:http", "4", "0ms", "1"),
	oddEntry(":8301", "4", "0ms", "1"),
	oddEntry("some-host:8301", "4", "0ms", "1"),
	oddEntry("127.0.0.99:8301", "9223372036854775807", "0ms", "1"),
	oddEntry("127.0.0.99:8301", "1e400", "0ms", "1"),
	oddEntry("127.0.0.99:8301", "4", "0ms", "9223372036854775807"),
	oddEntry("127.0.0.99:8301", "4", "2562047h", "1"),
	oddEntry("127.0.0.98:8301", "1048576", "0ms", "8796093022208"),
	oddEntry("[::1]:8301", "4", "-2562047h", "1"),
}

// Guards against odd entries that end nodes, or keep them from following the store or
// from serving requests that other instances can run.
func TestOddEntriesCostOnlyThemselves(t *testing.T) {
	Convey("All nodes serve and have each later change", t, func() {
		m := newStoredMesh(t)
		for i, text := range oddEntries {
			m.store.PutRawEntry(directory.InstanceID(fmt.Sprint("odd-", i)), text)
		}
		m.publish(2)
		m.awaitRoutes(2, changeTimeout)
		for i := range 40 {
			v := m.vms[i%len(m.vms)]
			_, got := m.get(v, "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
		}
		for i := range oddEntries {
			m.store.PutRawEntry(directory.InstanceID(fmt.Sprint("odd-", i)), oddEntries[len(oddEntries)-1-i])
		}
		m.store.Compact()
		m.publish(3)
		m.awaitRoutes(3, changeTimeout)
		for _, v := range m.vms {
			known := 0
			for id := range v.dir.View().All() {
				if strings.HasPrefix(string(id), "i-") {
					known++
				}
			}
			So(known, ShouldEqual, len(m.vms))
			So(v.dir.Age(), ShouldBeLessThan, 2*time.Second)
		}
	})
}
