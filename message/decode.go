package message

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Decode reads a message whose fields go by their place into fields, pointers
// in that order. Those that the sender does not know stay as they are, and
// those that only the sender knows are passed over: nodes are replaced one
// after the other, and one that could not read another version's messages
// would be cut off from half of the fleet until the last is replaced.
func Decode(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range max(n, 0) {
		if i < len(fields) {
			err = d.Decode(fields[i])
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Named reports whether the next message has names for its fields.
func Named(d *msgpack.Decoder) bool {
	c, err := d.PeekCode()
	return err == nil && (msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32)
}
