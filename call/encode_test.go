package call

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// plain types have the same fields and leave the encoding to the codec.
type (
	plainRequest     Request
	plainAnswer      Answer
	plainHTTPRequest HTTPRequest
	plainHTTPAnswer  HTTPAnswer
	plainLoad        Load
	plainField       Field
	plainEnd         End
)

// A field that is written at another place, or as another kind, than the codec
// would, is read wrong by every other node, also where it is not set.
func TestMessagesAreWrittenAsTheCodecWould(t *testing.T) {
	Convey("Whatever is set in them", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			same := func(ours, codecs any) {
				a, err := msgpack.Marshal(ours)
				if err != nil {
					t.Fatal(err)
				}
				b, err := msgpack.Marshal(codecs)
				if err != nil {
					t.Fatal(err)
				}
				if string(a) != string(b) {
					t.Fatalf("%x, the codec writes %x", a, b)
				}
			}
			h := rapid.Make[*HTTPRequest]().Draw(t, "http request")
			if h != nil {
				same(h, (*plainHTTPRequest)(h))
			}
			ha := rapid.Make[*HTTPAnswer]().Draw(t, "http answer")
			if ha != nil {
				same(ha, (*plainHTTPAnswer)(ha))
			}
			l := rapid.Make[*Load]().Draw(t, "load")
			if l != nil {
				same(l, (*plainLoad)(l))
			}
			f, x := rapid.Make[Field]().Draw(t, "field"), rapid.Make[End]().Draw(t, "end")
			same(&f, (*plainField)(&f))
			same(&x, (*plainEnd)(&x))
			r := Request{ID: rapid.Make[RequestID]().Draw(t, "id"), Key: Key(rapid.String().Draw(t, "key")), Remaining: 5, Budget: rapid.Int().Draw(t, "budget"),
				Passed: rapid.Make[[]string]().Draw(t, "passed"), Body: rapid.Make[[]byte]().Draw(t, "body"), HTTP: h}
			same(&r, (*plainRequest)(&r))
			a := Answer{ID: r.ID, Status: OK, Reason: rapid.String().Draw(t, "reason"), RetryAfter: 7, RetriesUsed: r.Budget, Leaving: rapid.Bool().Draw(t, "leaving"),
				Body: r.Body, HTTP: ha, Load: l, Ended: &x, Held: rapid.Bool().Draw(t, "held")}
			same(&a, (*plainAnswer)(&a))
			a.Ended = nil
			same(&a, (*plainAnswer)(&a))
		})
	})
}
