package message

import "github.com/vmihailenco/msgpack/v5"

// List is a slice of which a message holds as many elements as it says. The
// codec takes the memory for all of them when it reads how many there are: nine
// bytes that are no message, or half of one, would end a node.
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
