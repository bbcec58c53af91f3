package account

import (
	"errors"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func digests(keys ...string) []Digest {
	var ds []Digest
	for _, k := range keys {
		ds = append(ds, DigestOf(k))
	}
	return ds
}

func TestLookupByKey(t *testing.T) {
	Convey("Each key finds its account; partial and unknown keys find none", t, func() {
		r, err := NewRegistry([]Account{{Name: "a", Keys: digests("ka", "kb")}, {Name: "b", Keys: digests("kc")}, {Name: "c"}})
		So(err, ShouldBeNil)
		So(r.ByKey("kb").Name, ShouldEqual, Name("a"))
		So(r.ByKey("kc").Name, ShouldEqual, Name("b"))
		for _, k := range []string{"", "k", "kaa", "KA", "ka ", "kd"} {
			So(r.ByKey(k), ShouldBeNil)
		}
		So(r.ByName("c"), ShouldNotBeNil)
		So(r.ByName("d"), ShouldBeNil)
	})
}

// A key that belongs to two accounts would let one client pass for the other.
// The whole configuration must be rejected, and the error must not contain the
// key.
func TestInvalidAccountsAreRejected(t *testing.T) {
	for _, c := range []struct {
		name, wantErr string
		all           []Account
	}{
		{"key shared by two accounts", "API key also belongs to account a", []Account{{Name: "a", Keys: digests("secret")}, {Name: "b", Keys: digests("secret")}}},
		{"missing name", "missing name", []Account{{}}},
		{"duplicate name", "duplicate name", []Account{{Name: "a"}, {Name: "a"}}},
		{"negative rate", "rate and burst must be non-negative numbers", []Account{{Name: "a", Rate: -1}}},
		{"negative burst", "rate and burst must be non-negative numbers", []Account{{Name: "a", Burst: -1}}},
		{"NaN rate", "rate and burst must be non-negative numbers", []Account{{Name: "a", Rate: math.NaN()}}},
		{"empty key", "empty API key", []Account{{Name: "a", Keys: digests("")}}},
	} {
		Convey(c.name, t, func() {
			_, err := NewRegistry(c.all)
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, c.wantErr)
			So(strings.Contains(err.Error(), "secret"), ShouldBeFalse)
		})
	}
	Convey("A key repeated within one account is valid; the error lists every problem", t, func() {
		_, err := NewRegistry([]Account{{Name: "a", Keys: digests("k", "k")}})
		So(err, ShouldBeNil)
		_, err = NewRegistry([]Account{{Name: "a", Rate: -1}, {Name: "a"}})
		So(err.Error(), ShouldContainSubstring, "rate and burst must be non-negative numbers")
		So(err.Error(), ShouldContainSubstring, "duplicate name")
	})
}

func TestRanksAreContiguous(t *testing.T) {
	Convey("Ranks follow priorities; callers without an account rank last", t, func() {
		r, err := NewRegistry([]Account{{Name: "a", Priority: 7}, {Name: "b", Priority: 0}, {Name: "c", Priority: 7}, {Name: "d", Priority: 3}})
		So(err, ShouldBeNil)
		So(r.NumRanks(), ShouldEqual, 3)
		So(r.Rank(r.ByName("b")), ShouldEqual, 0)
		So(r.Rank(r.ByName("d")), ShouldEqual, 1)
		So(r.Rank(r.ByName("a")), ShouldEqual, 2)
		So(r.Rank(nil), ShouldEqual, 2)
		none, err := NewRegistry(nil)
		So(err, ShouldBeNil)
		So(none.NumRanks(), ShouldEqual, 1)
		So(none.Rank(nil), ShouldEqual, 0)
	})
}

func BenchmarkByKey(b *testing.B) {
	var all []Account
	for i := range 1000 {
		k := strings.Repeat(string(rune('a'+i%26)), 20) + string(rune(0x4e00+i))
		all = append(all, Account{Name: Name(k), Keys: digests(k)})
	}
	registry, err := NewRegistry(all)
	if err != nil {
		b.Fatal(err)
	}
	key := string(all[500].Name)
	b.ReportAllocs()
	for b.Loop() {
		if registry.ByKey(key) == nil {
			b.Fatal("not found")
		}
	}
}
