package message

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

type note struct {
	id   uint64
	text string
	list []string
}

func (n *note) DecodeMsgpack(d *msgpack.Decoder) error {
	*n = note{}
	return Decode(d, &n.id, &n.text, &n.list)
}

// Nodes of two versions send each other messages that differ in their last
// fields. What follows such a message, in the same list or on the same
// connection, must be read from its own beginning.
func TestMessagesOfOtherVersionsAreRead(t *testing.T) {
	whole := note{id: 7, text: "a", list: []string{"x"}}
	for _, c := range []struct {
		name string
		sent []any
		want note
	}{
		{"the same fields", []any{7, "a", []string{"x"}}, whole},
		{"fewer", []any{7, "a"}, note{id: 7, text: "a"}},
		{"none", []any{}, note{}},
		{"one more", []any{7, "a", []string{"x"}, true}, whole},
		{"more, of any kind", []any{7, "a", []string{"x"}, map[string]any{"k": []any{1, nil}}, []byte("b"), 1.5}, whole},
	} {
		Convey(c.name, t, func() {
			b, err := msgpack.Marshal([]any{c.sent, c.sent})
			So(err, ShouldBeNil)
			var got []note
			So(msgpack.Unmarshal(append(b, 0xc3), &got), ShouldBeNil)
			So(got, ShouldResemble, []note{c.want, c.want})
		})
	}
	Convey("No message at all", t, func() {
		var got note
		So(msgpack.Unmarshal([]byte{0xc0}, &got), ShouldBeNil)
		So(got, ShouldResemble, note{})
	})
	Convey("Fields of another kind, and a message that breaks off, are errors", t, func() {
		b, err := msgpack.Marshal([]any{"seven"})
		So(err, ShouldBeNil)
		var got note
		So(msgpack.Unmarshal(b, &got), ShouldNotBeNil)
		b, err = msgpack.Marshal([]any{7, "a", []string{"x"}, "more"})
		So(err, ShouldBeNil)
		So(msgpack.Unmarshal(b[:len(b)-1], &got), ShouldNotBeNil)
	})
	Convey("A message with names is told apart", t, func() {
		b, err := msgpack.Marshal(map[string]int{"id": 7})
		So(err, ShouldBeNil)
		So(Named(msgpack.NewDecoder(bytes.NewReader(b))), ShouldBeTrue)
		So(Named(msgpack.NewDecoder(bytes.NewReader([]byte{0x90}))), ShouldBeFalse)
		So(Named(msgpack.NewDecoder(bytes.NewReader(nil))), ShouldBeFalse)
	})
}

// A message says that a list of two billion elements follows, and ends. That is
// an error and no reason to run out of memory.
func TestAListIsNoLongerThanItsMessage(t *testing.T) {
	Convey("It is read as far as it goes", t, func() {
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
