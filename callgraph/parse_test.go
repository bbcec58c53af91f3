package callgraph

import (
	"errors"
	"os"
	"testing"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

func TestParseExamples(t *testing.T) {
	Convey("The example configurations parse", t, func() {
		kesslerRaab, err := Parse(examples.KesslerRaab)
		So(err, ShouldBeNil)
		So(kesslerRaab.ServiceNames(), ShouldResemble, []string{"archiv", "entwurf", "freigabe", "versand"})
		So(kesslerRaab.Depth(Ref{Service: "entwurf", Operation: "publish"}), ShouldEqual, 4)
		So(kesslerRaab.Services["versand"].Slots, ShouldEqual, 160)
		So(len(kesslerRaab.Services["archiv"].Instances), ShouldEqual, 6)
		publish := kesslerRaab.Operation(Ref{Service: "entwurf", Operation: "publish"})
		So(publish.Class, ShouldEqual, call.Critical)
		So(publish.Idempotent, ShouldBeFalse)

		maracas, err := Parse(examples.Maracas)
		So(err, ShouldBeNil)
		So(maracas.Services["rankings"].Slots, ShouldEqual, 25)
		So(maracas.Operation(Ref{Service: "rankings", Operation: "read"}).Class, ShouldEqual, call.Sheddable)
	})
}

// An invalid configuration must be rejected as a whole, with all of its
// problems and their lines reported at once.
func TestParseReportsEveryProblem(t *testing.T) {
	Convey("An invalid configuration is rejected with every problem and its line", t, func() {
		text, err := os.ReadFile("testdata/broken.ini")
		So(err, ShouldBeNil)
		g, err := Parse(text)
		So(g, ShouldBeNil)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		var validationErr *ValidationError
		So(errors.As(err, &validationErr), ShouldBeTrue)
		lines := map[int]bool{}
		for _, p := range validationErr.Problems {
			lines[p.Line] = true
		}
		So(lines[4], ShouldBeTrue)  // slots = many
		So(lines[5], ShouldBeTrue)  // depends on lager, not listed
		So(lines[7], ShouldBeTrue)  // instance without peer
		So(lines[12], ShouldBeTrue) // class = urgent
		So(lines[13], ShouldBeTrue) // deadline = soon
		So(err.Error(), ShouldContainSubstring, "cycle")
	})
	Convey("A configuration without a version is rejected", t, func() {
		_, err := Parse([]byte("[service.a]\nslots = 1\n"))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "version is missing")
	})
}

// A node finds its service by instance name, so one name in two services would
// be ambiguous and an idempotency key could have an owner in both.
func TestParseRejectsDuplicateInstance(t *testing.T) {
	Convey("A duplicate instance name is reported at its second occurrence", t, func() {
		service := func(name string) string {
			return "[service." + name + "]\nslots = 1\n[service." + name + ".operation.read]\nclass = sheddable\n" +
				"[service." + name + ".instance.archiv-1]\ndc = halle-nord\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\n"
		}
		_, err := Parse([]byte("version = 1\n" + service("archiv") + service("entwurf")))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "line 14: instance archiv-1 is listed in service archiv too")
	})
}
