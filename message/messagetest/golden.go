// Package messagetest loads messages encoded by the previous version, for tests
// of the packages that decode them.
package messagetest

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"
)

// Golden returns the message that the previous version encoded to
// testdata/former/NAME.hex of the package under test. It fails t if the file
// cannot be read.
func Golden(t testing.TB, name string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", "former", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}
