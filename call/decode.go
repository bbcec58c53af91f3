package call

import (
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// namedRequest and namedAnswer decode messages encoded as maps; they lack
	// the DecodeMsgpack methods.
	namedRequest Request
	namedAnswer  Answer
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Request) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Request{}
	if message.Named(d) {
		return d.Decode((*namedRequest)(r))
	}
	return message.Decode(d, (*string)(&r.ID), &r.Service, &r.Operation, (*string)(&r.Key), &r.Remaining, &r.To, &r.Sent,
		&r.Budget, (*message.List[string])(&r.Passed), &r.Body, &r.HTTP)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *Answer) DecodeMsgpack(d *msgpack.Decoder) error {
	*a = Answer{}
	if message.Named(d) {
		return d.Decode((*namedAnswer)(a))
	}
	return message.Decode(d, (*string)(&a.ID), (*string)(&a.Status), &a.Reason, &a.RetryAfter, &a.RetriesUsed, &a.Leaving,
		&a.Declined, &a.Body, &a.HTTP, &a.Reached, &a.Load, &a.Ended, &a.Held, &a.News)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *End) DecodeMsgpack(d *msgpack.Decoder) error {
	*e = End{}
	return message.Decode(d, &e.ID, &e.Alone)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Field) DecodeMsgpack(d *msgpack.Decoder) error {
	*f = Field{}
	return message.Decode(d, &f.Name, &f.Value)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *HTTPRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = HTTPRequest{}
	return message.Decode(d, &r.Method, &r.Host, &r.URI, (*message.List[Field])(&r.Header), &r.Caller, (*uint16)(&r.Level), &r.Begun, &r.Repeat,
		&r.Idempotent, &r.Patience)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *HTTPAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	*a = HTTPAnswer{}
	return message.Decode(d, &a.Code, (*message.List[Field])(&a.Header))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = Load{}
	return message.Decode(d, &l.Busy, &l.Queued, &l.Limit, (*uint16)(&l.Admit), &l.Failing, &l.Scarce, &l.Slow, &l.Binds)
}
