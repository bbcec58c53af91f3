package wire

import (
	"errors"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/memory"
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

		// memoryOf returns the account of the body on a stream while a frame is decoded;
		// nil for none.
		memoryOf func(Stream) *memory.Account

		// Only while a frame is decoded; variables would be allocated each time.
		decoded extension
		request call.RequestDecoder
		answer  call.AnswerDecoder
	}

	// extension is an optional last field of a Frame: the parts of its request
	// or answer that are rarely set. Versions that do not know it skip it.
	extension struct {
		_msgpack  struct{}       `msgpack:",as_array"`
		RateLimit float64        // call.Request.KnownRateLimit, or that of call.Answer.State
		Leaving   bool           // of call.Answer.State
		AwaitRate bool           // call.Request.AwaitRate
		RateWait  time.Duration  // call.Answer.RateWait
		UpAt      call.UnixMilli // call.Request.KnownUpAt, or that of call.Answer.State
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

// frameFields is the number of fields of a Frame without an extension.
const frameFields = 6

// namedFrame decodes a Frame encoded as a map; it lacks the DecodeMsgpack method.
type namedFrame Frame

// EncodeMsgpack implements msgpack.CustomEncoder. A frame without an extension
// is encoded as by versions that have none.
func (f *Frame) EncodeMsgpack(e *msgpack.Encoder) error {
	x, n := f.extension(), frameFields
	if x.states() {
		n++
	}
	err := errors.Join(e.EncodeArrayLen(n), e.EncodeUint8(uint8(f.Kind)), e.EncodeUint64(uint64(f.Stream)), e.Encode(f.Request), e.Encode(f.Answer),
		e.EncodeUint64(f.ConfigVersion), e.EncodeString(f.From))
	if n == frameFields || err != nil {
		return err
	}
	return x.encode(e)
}

// states reports whether an extension has anything to say. When a run was up is
// of no use without its statement.
func (x extension) states() bool {
	x.UpAt = 0
	return x != (extension{})
}

func (x extension) encode(e *msgpack.Encoder) error { return e.Encode(&x) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Frame) DecodeMsgpack(d *msgpack.Decoder) error {
	*f = Frame{memoryOf: f.memoryOf}
	if message.IsMap(d) {
		return d.Decode((*namedFrame)(f))
	}
	err := message.DecodeArray(d, (*uint8)(&f.Kind), (*streamDecoder)(f), &f.request, &f.answer, &f.ConfigVersion, &f.From, &f.decoded)
	f.Request, f.Answer = f.request.Request, f.answer.Answer
	f.request, f.answer = call.RequestDecoder{}, call.AnswerDecoder{}
	if err != nil {
		f.release()
		return err
	}
	f.extend(f.decoded)
	f.decoded = extension{}
	return nil
}

// streamDecoder decodes the stream of a Frame and with it finds the account of the
// body, which comes after it.
type streamDecoder Frame

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *streamDecoder) DecodeMsgpack(d *msgpack.Decoder) error {
	s, err := d.DecodeUint64()
	f.Stream = Stream(s)
	if err == nil && f.memoryOf != nil {
		f.request.Account = f.memoryOf(f.Stream)
		f.answer.Account = f.request.Account
	}
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (x *extension) DecodeMsgpack(d *msgpack.Decoder) error {
	*x = extension{}
	return message.DecodeArray(d, &x.RateLimit, &x.Leaving, &x.AwaitRate, &x.RateWait, &x.UpAt)
}

// extension returns the parts of the request or answer that are encoded in the
// extension.
func (f *Frame) extension() extension {
	switch {
	case f.Request != nil:
		return extension{RateLimit: f.Request.KnownRateLimit, AwaitRate: f.Request.AwaitRate, UpAt: f.Request.KnownUpAt}
	case f.Answer != nil:
		return extension{RateLimit: f.Answer.State.RateLimit, Leaving: f.Answer.State.Leaving, RateWait: f.Answer.RateWait, UpAt: f.Answer.State.UpAt}
	}
	return extension{}
}

// extend sets the parts of the request or answer from an extension.
func (f *Frame) extend(x extension) {
	switch {
	case f.Request != nil:
		f.Request.KnownRateLimit, f.Request.AwaitRate, f.Request.KnownUpAt = x.RateLimit, x.AwaitRate, x.UpAt
	case f.Answer != nil:
		f.Answer.State = call.InstanceState{RateLimit: x.RateLimit, Leaving: x.Leaving, UpAt: x.UpAt}
		f.Answer.RateWait = x.RateWait
	}
}

// release gives back the memory of a frame that nobody handles.
func (f *Frame) release() {
	if f.Request != nil {
		f.Request.Held.Release()
	}
	if f.Answer != nil {
		f.Answer.Held.Release()
	}
}
