package message

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// DecodeArray decodes a message encoded as an array into fields, which are
// pointers in array order. Fields missing from the message are left unchanged
// and additional elements are skipped, so that nodes of different versions can
// communicate during a rolling upgrade.
func DecodeArray(d *msgpack.Decoder, fields ...any) error {
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

// IsMap reports whether the next message is encoded as a map, with field names.
func IsMap(d *msgpack.Decoder) bool {
	c, err := d.PeekCode()
	return err == nil && (msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32)
}
