package settings

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLoad(t *testing.T) {
	Convey("A node's settings load", t, func() {
		var s Node
		So(Load("testdata/node.ini", "node", &s), ShouldBeNil)
		So(s.Instance, ShouldEqual, "entwurf-1")
		So(string(s.DC), ShouldEqual, "halle-nord")
	})
	Convey("A wrong section is named", t, func() {
		var s Target
		err := Load("testdata/node.ini", "target", &s)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "no [target] section")
	})
	Convey("An unknown key is refused", t, func() {
		var s Node
		err := Load("testdata/bad-node.ini", "node", &s)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "colour")
	})
}

func TestCheckNamesEveryBadField(t *testing.T) {
	Convey("Every missing or malformed field is named", t, func() {
		s := Node{Instance: "x", HTTP: "127.0.0.1", Peer: "127.0.0.1:1", Target: "127.0.0.1:2", Platform: "http://p:1"}
		err := check(&s)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "dc is missing")
		So(err.Error(), ShouldContainSubstring, "http 127.0.0.1 is not well formed")
		So(err.Error(), ShouldContainSubstring, "target 127.0.0.1:2 is not well formed")
	})
}
