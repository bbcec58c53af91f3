package message

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Writer writes the fields of one message in their places, as the codec does by
// reflection in three times as long. After an error it writes nothing more.
type Writer struct {
	e   *msgpack.Encoder
	err error
}

// NewWriter begins a message of so many fields.
func NewWriter(e *msgpack.Encoder, fields int) Writer {
	return Writer{e: e, err: e.EncodeArrayLen(fields)}
}

// Err returns the first error.
func (w *Writer) Err() error { return w.err }

// String writes a field.
func (w *Writer) String(s string) { w.do(func() error { return w.e.EncodeString(s) }) }

// Int writes a field of type int.
func (w *Writer) Int(n int) { w.do(func() error { return w.e.EncodeInt(int64(n)) }) }

// Uint8 writes a field.
func (w *Writer) Uint8(n uint8) { w.do(func() error { return w.e.EncodeUint8(n) }) }

// Uint16 writes a field.
func (w *Writer) Uint16(n uint16) { w.do(func() error { return w.e.EncodeUint16(n) }) }

// Uint64 writes a field.
func (w *Writer) Uint64(n uint64) { w.do(func() error { return w.e.EncodeUint64(n) }) }

// Float64 writes a field.
func (w *Writer) Float64(x float64) { w.do(func() error { return w.e.EncodeFloat64(x) }) }

// Bool writes a field.
func (w *Writer) Bool(b bool) { w.do(func() error { return w.e.EncodeBool(b) }) }

// Bytes writes a field.
func (w *Writer) Bytes(b []byte) { w.do(func() error { return w.e.EncodeBytes(b) }) }

// Duration writes a field, in nanoseconds.
func (w *Writer) Duration(d time.Duration) { w.do(func() error { return w.e.EncodeInt64(int64(d)) }) }

// Time writes a field.
func (w *Writer) Time(t time.Time) { w.do(func() error { return w.e.EncodeTime(t) }) }

func (w *Writer) do(f func() error) {
	if w.err == nil {
		w.err = f()
	}
}

// WriteMessage writes a field that is a message itself, or none.
func WriteMessage[M any, P interface {
	*M
	msgpack.CustomEncoder
}](w *Writer, m P) {
	w.do(func() error {
		if m == nil {
			return w.e.EncodeNil()
		}
		return m.EncodeMsgpack(w.e)
	})
}

// WriteList writes a field that is a list of messages.
func WriteList[M any, P interface {
	*M
	msgpack.CustomEncoder
}](w *Writer, all []M) {
	w.do(func() error {
		if all == nil {
			return w.e.EncodeNil()
		}
		return w.e.EncodeArrayLen(len(all))
	})
	for i := range all {
		WriteMessage(w, P(&all[i]))
	}
}

// Strings writes a field that is a list.
func (w *Writer) Strings(all []string) { w.do(func() error { return w.e.Encode(all) }) }
