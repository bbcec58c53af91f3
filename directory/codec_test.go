package directory

import (
	"errors"
	"testing"
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/message/messagetest"
	. "github.com/smartystreets/goconvey/convey"
)

// goldenDelta is the decoded content of testdata/former/delta.hex, which the
// previous version encoded.
func goldenDelta(t testing.TB) Delta {
	r, err := NewRoutes(42, Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, []Route{
		{Name: "read", Host: "h", Prefix: "/read/", Shares: []Share{{Service: "archiv", Weight: 9}, {Service: "entwurf", Weight: 1}}, Idempotent: true,
			Timeout: time.Second, TargetLatency: time.Millisecond, MaxInstances: 2, Priority: 3}})
	if err != nil {
		t.Fatal(err)
	}
	r.Services = []Service{{Name: "archiv", HealthPath: "/health"}, {Name: "entwurf"}}
	return Delta{After: 5, Age: time.Second, Removed: []Removal{{ID: "i-9", At: 6}}, Snapshot: Snapshot{Revision: 300, Routes: r, Instances: []Instance{
		{ID: "i-1", Started: 1788000000123, Service: "archiv", DC: "nord", Addr: "10.1.0.8:8301", Slots: 108, Leaving: true,
			ColdUntil: time.Unix(1788000000, 5000).UTC(), FirstRevision: 4, Revision: 299}}}}
}

// Nodes of the previous version exchange deltas with this one, so the encoding
// must not change.
func TestPreviousVersionDeltaIsCompatible(t *testing.T) {
	Convey("Its delta is decoded completely, and is encoded to the same bytes", t, func() {
		want := goldenDelta(t)
		got, err := Decode(messagetest.Golden(t, "delta"))
		So(err, ShouldBeNil)
		got.Instances[0].ColdUntil = got.Instances[0].ColdUntil.UTC()
		So(got, ShouldResemble, want)
		ours, err := Encode(want)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Golden(t, "delta"))
	})
}

// FuzzDelta checks that any input is rejected or can be encoded and decoded
// again.
func FuzzDelta(f *testing.F) {
	f.Add(messagetest.Golden(f, "delta"))
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := Decode(b)
		if err != nil {
			return
		}
		out, err := Encode(x)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(out); err != nil {
			t.Fatalf("%x was decoded, but not after it was encoded again: %v", b, err)
		}
	})
}

// An empty list of accounts must stay distinct from routes without accounts: a
// node that confuses them would admit every caller.
func TestAccountsAreEncodedWithRoutes(t *testing.T) {
	Convey("Accounts survive encoding, also an empty list", t, func() {
		for _, all := range [][]account.Account{nil, {}, {{Name: "a", Keys: []account.Digest{account.DigestOf("k")}, Priority: 1, Rate: 2.5, Burst: 3}, {Name: "b"}}} {
			x := goldenDelta(t)
			x.Routes.Accounts = nil
			if all != nil {
				b, err := account.NewRegistry(all)
				So(err, ShouldBeNil)
				x.Routes.Accounts = b
			}
			b, err := Encode(x)
			So(err, ShouldBeNil)
			So(string(b), ShouldNotContainSubstring, `"k"`)
			got, err := Decode(b)
			So(err, ShouldBeNil)
			So(got.Routes.Accounts == nil, ShouldEqual, all == nil)
			if all != nil {
				So(len(got.Routes.Accounts.All()), ShouldEqual, len(all))
			}
			if len(all) > 0 {
				So(*got.Routes.Accounts.ByKey("k"), ShouldResemble, all[0])
			}
		}
	})
	Convey("Invalid accounts are an error", t, func() {
		x := goldenDelta(t)
		b, err := account.NewRegistry([]account.Account{{Name: "a"}, {Name: "b"}})
		So(err, ShouldBeNil)
		b.All()[1].Name = "a"
		x.Routes.Accounts = b
		bad, err := Encode(x)
		So(err, ShouldBeNil)
		_, err = Decode(bad)
		So(errors.Is(err, ErrInvalidRoutes), ShouldBeTrue)
	})
}

// A truncated message that declares a list of two billion elements must be
// rejected without allocating them.
func TestNestedListLengthIsBoundedByMessage(t *testing.T) {
	many := []byte{0xdd, 0x7f, 0xff, 0xff, 0xff}
	for _, c := range []struct{ name, list, field string }{{"shares", "routes", "Shares"}, {"keys", "accounts", "Keys"}} {
		Convey("List of "+c.name, t, func() {
			b := []byte{0x81, byte(0xa0 + len(c.list))}
			b = append(b, c.list...)
			b = append(b, 0x91, 0x81, byte(0xa0+len(c.field)))
			b = append(b, c.field...)
			_, err := Decode(append(b, many...))
			So(err, ShouldNotBeNil)
		})
	}
}
