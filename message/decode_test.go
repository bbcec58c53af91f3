package message

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

type record struct {
	id   uint64
	text string
	list []string
}

func (r *record) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = record{}
	return DecodeArray(d, &r.id, &r.text, &r.list)
}

// Messages of other versions have fewer or additional trailing fields. Decoding
// one must consume exactly its bytes, or the next message in the list or on the
// connection would be misread.
func TestDecodeMessagesOfOtherVersions(t *testing.T) {
	complete := record{id: 7, text: "a", list: []string{"x"}}
	for _, c := range []struct {
		name string
		sent []any
		want record
	}{
		{"the same fields", []any{7, "a", []string{"x"}}, complete},
		{"fewer fields", []any{7, "a"}, record{id: 7, text: "a"}},
		{"none", []any{}, record{}},
		{"one additional field", []any{7, "a", []string{"x"}, true}, complete},
		{"additional fields of any type", []any{7, "a", []string{"x"}, map[string]any{"k": []any{1, nil}}, []byte("b"), 1.5}, complete},
	} {
		Convey(c.name, t, func() {
			b, err := msgpack.Marshal([]any{c.sent, c.sent})
			So(err, ShouldBeNil)
			var got []record
			So(msgpack.Unmarshal(append(b, 0xc3), &got), ShouldBeNil)
			So(got, ShouldResemble, []record{c.want, c.want})
		})
	}
	Convey("A nil message", t, func() {
		var got record
		So(msgpack.Unmarshal([]byte{0xc0}, &got), ShouldBeNil)
		So(got, ShouldResemble, record{})
	})
	Convey("Fields of another type and truncated messages are errors", t, func() {
		b, err := msgpack.Marshal([]any{"seven"})
		So(err, ShouldBeNil)
		var got record
		So(msgpack.Unmarshal(b, &got), ShouldNotBeNil)
		b, err = msgpack.Marshal([]any{7, "a", []string{"x"}, "more"})
		So(err, ShouldBeNil)
		So(msgpack.Unmarshal(b[:len(b)-1], &got), ShouldNotBeNil)
	})
	Convey("A message encoded as a map is recognised", t, func() {
		b, err := msgpack.Marshal(map[string]int{"id": 7})
		So(err, ShouldBeNil)
		So(IsMap(msgpack.NewDecoder(bytes.NewReader(b))), ShouldBeTrue)
		So(IsMap(msgpack.NewDecoder(bytes.NewReader([]byte{0x90}))), ShouldBeFalse)
		So(IsMap(msgpack.NewDecoder(bytes.NewReader(nil))), ShouldBeFalse)
	})
}

// A truncated message that declares a list of two billion elements must give an
// error and must not exhaust memory.
func TestListLengthBeyondMessageIsError(t *testing.T) {
	Convey("A list longer than its message is an error, others are decoded", t, func() {
		var l List[string]
		So(msgpack.Unmarshal([]byte{0xdd, 0x7f, 0xff, 0xff, 0xff, 0xa1, 'a'}, &l), ShouldNotBeNil)
		b, err := msgpack.Marshal([]string{"a", "b"})
		So(err, ShouldBeNil)
		So(msgpack.Unmarshal(b, &l), ShouldBeNil)
		So(l, ShouldResemble, List[string]{"a", "b"})
		So(msgpack.Unmarshal([]byte{0xc0}, &l), ShouldBeNil)
		So(l, ShouldBeNil)
	})
}

// Guards against a process that runs out of memory because a message of a few megabytes
// claims, and has, empty elements: each is one byte, and tens of bytes once decoded.
func TestListWithoutEndIsRefused(t *testing.T) {
	Convey("A list over the bound is an error, and one of it is decoded", t, func() {
		list := func(n int) []byte {
			b := []byte{0xdd, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
			return append(b, bytes.Repeat([]byte{0x90}, n)...)
		}
		var l List[record]
		So(msgpack.Unmarshal(list(maxList+1), &l), ShouldWrap, ErrListTooLong)
		So(l, ShouldBeEmpty)
		So(msgpack.Unmarshal(list(maxList), &l), ShouldBeNil)
		So(len(l), ShouldEqual, maxList)
	})
}
