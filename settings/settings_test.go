package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
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
	Convey("The error names the missing section", t, func() {
		var s Target
		err := Load("testdata/node.ini", "target", &s)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "no [target] section")
	})
	Convey("An unknown key is rejected", t, func() {
		var s Node
		err := Load("testdata/bad-node.ini", "node", &s)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "colour")
	})
}

func TestValidateReportsEveryInvalidKey(t *testing.T) {
	Convey("The error names every missing or malformed field", t, func() {
		s := Node{Instance: "x", HTTP: "127.0.0.1", Peer: "127.0.0.1:1", Target: "127.0.0.1:2", ConfigServiceURL: "http://p:1"}
		err := validate(&s)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "dc is missing")
		So(err.Error(), ShouldContainSubstring, "http 127.0.0.1 is not well formed")
		So(err.Error(), ShouldContainSubstring, "target 127.0.0.1:2 is not well formed")
	})
}

func TestSidecarReportsEveryInvalidKey(t *testing.T) {
	Convey("Omitted keys have defaults; the error names every invalid key", t, func() {
		dir := t.TempDir()
		path := filepath.Join(dir, "s.ini")
		good := "[sidecar]\nname=a\ndc=d\nservice=s\ntarget=h:1\ncallers=h:2\npeer=h:3\nready=h:4\nmetrics=h:5\nstore=h:6\ncontrol=\nseeds=\n"
		So(os.WriteFile(path, []byte(good), 0o600), ShouldBeNil)
		s := DefaultSidecar()
		So(Load(path, "sidecar", &s), ShouldBeNil)
		So(s.ShutdownGrace, ShouldEqual, defaultShutdownGrace)
		So(s.Seeds, ShouldBeEmpty)
		bad := strings.Replace(good, "target=h:1\n", "target=h\n", 1) + "memory_mb=0\nrepeat_ratio=-1\n"
		So(os.WriteFile(path, []byte(strings.Replace(bad, "store=h:6\n", "", 1)), 0o600), ShouldBeNil)
		s = DefaultSidecar()
		err := Load(path, "sidecar", &s)
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		for _, part := range []string{"target h is not well formed", "store is missing", "memory_mb", "repeat_ratio"} {
			So(err.Error(), ShouldContainSubstring, part)
		}
		So(os.WriteFile(path, []byte(good+"grcae=2s\n"), 0o600), ShouldBeNil)
		So(Load(path, "sidecar", &s).Error(), ShouldContainSubstring, "grcae")
	})
}
