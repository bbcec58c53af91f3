package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// switches stand for a section that most files do not have.
type switches struct {
	Thresholds bool `ini:"thresholds"`
	Vouch      bool `ini:"vouch"`
}

// An operator switches one policy off and misspells another. Taken silently,
// the second would stay on, and the figures of that day would be believed.
func TestAnOptionalSectionMayBeMissingButNotWrong(t *testing.T) {
	read := func(text string) (switches, error) {
		path := filepath.Join(t.TempDir(), "s.ini")
		So(os.WriteFile(path, []byte(text), 0o644), ShouldBeNil)
		v := switches{Thresholds: true, Vouch: true}
		err := LoadOptional(path, "policies", &v)
		return v, err
	}
	Convey("Missing, it leaves all as it was; what it names is set", t, func() {
		v, err := read("[sidecar]\nname=a\n")
		So(err, ShouldBeNil)
		So(v, ShouldResemble, switches{Thresholds: true, Vouch: true})
		v, err = read("[policies]\nvouch = false\n")
		So(err, ShouldBeNil)
		So(v, ShouldResemble, switches{Thresholds: true})
	})
	Convey("An unknown key, a value that is neither, and no file are errors", t, func() {
		for _, text := range []string{"[policies]\nvouches = false\n", "[policies]\nvouch = maybe\n"} {
			_, err := read(text)
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		}
		So(errors.Is(LoadOptional(filepath.Join(t.TempDir(), "none.ini"), "policies", &switches{}), ErrInvalid), ShouldBeTrue)
	})
}
