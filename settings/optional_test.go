package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// policies is the section that the test reads.
type policies struct {
	Thresholds bool `ini:"thresholds"`
	Vouch      bool `ini:"vouch"`
}

// A misspelled key in an optional section must be an error, or the policy it
// was meant to switch off would stay on unnoticed.
func TestOptionalSection(t *testing.T) {
	read := func(text string) (policies, error) {
		path := filepath.Join(t.TempDir(), "s.ini")
		So(os.WriteFile(path, []byte(text), 0o644), ShouldBeNil)
		v := policies{Thresholds: true, Vouch: true}
		f, err := Read(path)
		So(err, ShouldBeNil)
		err = f.OptionalSection("policies", &v)
		return v, err
	}
	Convey("A missing section leaves the defaults; a present one overrides them", t, func() {
		v, err := read("[sidecar]\nname=a\n")
		So(err, ShouldBeNil)
		So(v, ShouldResemble, policies{Thresholds: true, Vouch: true})
		v, err = read("[policies]\nvouch = false\n")
		So(err, ShouldBeNil)
		So(v, ShouldResemble, policies{Thresholds: true})
	})
	Convey("An unknown key, a value that is not a boolean and a missing file are errors", t, func() {
		for _, text := range []string{"[policies]\nvouches = false\n", "[policies]\nvouch = maybe\n"} {
			_, err := read(text)
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		}
		_, err := Read(filepath.Join(t.TempDir(), "none.ini"))
		So(errors.Is(err, ErrInvalid), ShouldBeTrue)
	})
}
