package call

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/oatpin/oatpin/memory"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a node that runs out of memory because many others send it requests
// with large heads at the same time.
func TestLargeHeadIsCounted(t *testing.T) {
	Convey("A head in many short lines counts with the body; without room it is not held", t, func() {
		r := Request{ID: "x", Body: bytes.Repeat([]byte("b"), 2*uncountedBody), HTTP: &HTTPRequest{Method: "POST"}}
		for i := range 3000 {
			r.HTTP.Header = append(r.HTTP.Header, Field{Name: fmt.Sprint("x", i)})
		}
		b, err := msgpack.Marshal(&r)
		So(err, ShouldBeNil)
		decode := func(limit int64) (*Request, *memory.Account) {
			account := &memory.Account{}
			account.SetLimit(limit)
			d := RequestDecoder{Account: account}
			So(msgpack.Unmarshal(b, &d), ShouldBeNil)
			return d.Request, account
		}
		got, account := decode(16 << 20)
		So(len(got.HTTP.Header), ShouldEqual, 3000)
		So(account.Used(), ShouldBeGreaterThan, 3000*100)
		got.Held.Release()
		So(account.Used(), ShouldEqual, 0)
		got, account = decode(100_000) // of the body, but not of the head
		So(got.BodySkipped, ShouldBeTrue)
		So(got.HTTP.Header, ShouldBeEmpty)
		got.Held.Release()
		So(account.Used(), ShouldEqual, 0)
	})
}
