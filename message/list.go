package message

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// maxList is how many elements a list may have.
const maxList = 1 << 18

// ErrListTooLong means that a message has a list of over maxList elements.
var ErrListTooLong = eris.New("list is too long")

// List is a slice that grows as its elements are decoded. The msgpack codec
// allocates a slice from the length in the message, so a corrupt message of a
// few bytes could exhaust a node's memory. The error is ErrListTooLong or that of the
// codec.
type List[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = nil
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxList {
		return eris.Wrapf(ErrListTooLong, "%d elements", n)
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
