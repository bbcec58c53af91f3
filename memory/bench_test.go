package memory

import (
	"bytes"
	"fmt"
	"io"
	"testing"
)

// BenchmarkBuffer reads bodies whose length is not known.
func BenchmarkBuffer(b *testing.B) {
	for _, size := range []int{1500, 36 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := bytes.Repeat([]byte("x"), size)
			var account Account
			b.ReportAllocs()
			for b.Loop() {
				buf := NewBuffer(&account)
				if err := buf.ReadAll(io.NopCloser(bytes.NewReader(body)), -1); err != nil {
					b.Fatal(err)
				}
				buf.Release()
			}
		})
	}
}
