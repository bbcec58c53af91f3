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
	Convey("The shipped texts parse", t, func() {
		kr, err := Parse(examples.KesslerRaab)
		So(err, ShouldBeNil)
		So(kr.Names(), ShouldResemble, []string{"archiv", "entwurf", "freigabe", "versand"})
		So(kr.Depth(Ref{Service: "entwurf", Operation: "publish"}), ShouldEqual, 4)
		So(kr.Services["versand"].Slots, ShouldEqual, 160)
		So(len(kr.Services["archiv"].Instances), ShouldEqual, 6)
		publish := kr.Operation(Ref{Service: "entwurf", Operation: "publish"})
		So(publish.Class, ShouldEqual, call.Critical)
		So(publish.Idempotent, ShouldBeFalse)

		mt, err := Parse(examples.Maracas)
		So(err, ShouldBeNil)
		So(mt.Services["rankings"].Slots, ShouldEqual, 25)
		So(mt.Operation(Ref{Service: "rankings", Operation: "read"}).Class, ShouldEqual, call.Sheddable)
	})
}

// An operator submits a text with a typo in slots, an unknown class, a
// missing address and two services that depend on each other. They must see
// every problem at once, each with its line, and the text must be refused
// whole rather than put in force in part.
func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	Convey("A broken text is refused with every problem and its line", t, func() {
		text, err := os.ReadFile("testdata/broken.ini")
		So(err, ShouldBeNil)
		g, err := Parse(text)
		So(g, ShouldBeNil)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		var te *TextError
		So(errors.As(err, &te), ShouldBeTrue)
		lines := map[int]bool{}
		for _, p := range te.Problems {
			lines[p.Line] = true
		}
		So(lines[4], ShouldBeTrue)  // slots = many
		So(lines[5], ShouldBeTrue)  // depends on lager, not listed
		So(lines[7], ShouldBeTrue)  // instance without peer
		So(lines[12], ShouldBeTrue) // class = urgent
		So(lines[13], ShouldBeTrue) // deadline = soon
		So(err.Error(), ShouldContainSubstring, "cycle")
	})
	Convey("A text without a version is refused", t, func() {
		_, err := Parse([]byte("[service.a]\nslots = 1\n"))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "version is missing")
	})
}

// An operator copies an instance into a second service and forgets to
// rename it. A node finds its service by its instance's name, so it would
// serve either, and a key could belong to both: the text must be refused.
func TestParseRefusesAnInstanceOfTwoServices(t *testing.T) {
	Convey("One instance name in two services is a problem at its second line", t, func() {
		service := func(name string) string {
			return "[service." + name + "]\nslots = 1\n[service." + name + ".operation.read]\nclass = sheddable\n" +
				"[service." + name + ".instance.archiv-1]\ndc = halle-nord\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\n"
		}
		_, err := Parse([]byte("version = 1\n" + service("archiv") + service("entwurf")))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "line 14: instance archiv-1 is listed in service archiv too")
	})
}
