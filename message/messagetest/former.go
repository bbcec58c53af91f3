// Package messagetest has messages of the version before, for the tests of the
// packages that read them.
package messagetest

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"
)

// Former returns the bytes of a message that the version before wrote, from
// testdata/former of the package under test.
func Former(t testing.TB, name string) []byte {
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
