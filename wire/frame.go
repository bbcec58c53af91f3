package wire

import (
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Kind says what a frame carries.
	Kind uint8

	// Stream numbers one call on one connection; the caller picks it.
	Stream uint64

	// Frame is the one message type on a node-to-node connection, encoded as
	// msgpack with its fields in this order; new ones come last. Frames with
	// named fields, as nodes sent them before, are read too.
	Frame struct {
		_msgpack struct{}      `msgpack:",as_array"`
		Kind     Kind          `msgpack:"kind"`
		Stream   Stream        `msgpack:"stream"`
		Request  *call.Request `msgpack:"request,omitempty"`
		Answer   *call.Answer  `msgpack:"answer,omitempty"`
		Config   uint64        `msgpack:"config"`         // version of the text in force at the sender
		From     string        `msgpack:"from,omitempty"` // instance name of the sender of a request
	}
)

const (
	// KindRequest carries a call.Request.
	KindRequest Kind = iota + 1
	// KindAnswer carries the call.Answer to the request with the same stream.
	KindAnswer
	// KindPing asks the peer to answer with KindPong; it proves the
	// connection still delivers.
	KindPing
	// KindPong answers a KindPing with the same stream.
	KindPong
	// KindCancel gives up the request with the same stream; no answer is
	// needed.
	KindCancel
)

// namedFrame is a Frame whose fields have names.
type namedFrame Frame

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Frame) DecodeMsgpack(d *msgpack.Decoder) error {
	*f = Frame{}
	if message.Named(d) {
		return d.Decode((*namedFrame)(f))
	}
	return message.Decode(d, (*uint8)(&f.Kind), (*uint64)(&f.Stream), &f.Request, &f.Answer, &f.Config, &f.From)
}
