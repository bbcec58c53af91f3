package message

import "github.com/vmihailenco/msgpack/v5"

// List is a slice that grows as its elements are decoded. The msgpack codec
// allocates a slice from the length in the message, so a corrupt message of a
// few bytes could exhaust a node's memory.
type List[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = nil
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range max(n, 0) {
		var v T
		if err := d.Decode(&v); err != nil {
			return err
		}
		*l = append(*l, v)
	}
	return nil
}
