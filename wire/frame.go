package wire

import (
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Kind is the type of a frame.
	Kind uint8

	// Stream identifies a call on its connection; the caller assigns it.
	Stream uint64

	// Frame is the message type of a node-to-node connection. It is encoded
	// as a msgpack array of its fields in this order, so new fields go last.
	// Frames encoded as maps, as older versions sent them, can be decoded too.
	Frame struct {
		_msgpack      struct{}      `msgpack:",as_array"`
		Kind          Kind          `msgpack:"kind"`
		Stream        Stream        `msgpack:"stream"`
		Request       *call.Request `msgpack:"request,omitempty"`
		Answer        *call.Answer  `msgpack:"answer,omitempty"`
		ConfigVersion uint64        `msgpack:"config"`         // active configuration version of the sender
		From          string        `msgpack:"from,omitempty"` // instance name of the sender of a request
	}
)

const (
	// KindRequest carries a call.Request.
	KindRequest Kind = iota + 1
	// KindAnswer carries the call.Answer to the request on the same stream.
	KindAnswer
	// KindPing is a keepalive probe, answered with KindPong.
	KindPing
	// KindPong answers the KindPing on the same stream.
	KindPong
	// KindCancel cancels the request on the same stream; its answer is
	// ignored.
	KindCancel
)

// namedFrame decodes a Frame encoded as a map; it lacks the DecodeMsgpack method.
type namedFrame Frame

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Frame) DecodeMsgpack(d *msgpack.Decoder) error {
	*f = Frame{}
	if message.IsMap(d) {
		return d.Decode((*namedFrame)(f))
	}
	return message.DecodeArray(d, (*uint8)(&f.Kind), (*uint64)(&f.Stream), &f.Request, &f.Answer, &f.ConfigVersion, &f.From)
}
