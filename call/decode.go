package call

import (
	"github.com/oatpin/oatpin/memory"
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
func (r *Request) DecodeMsgpack(d *msgpack.Decoder) error { return r.decode(d, &countedBody{}) }

func (r *Request) decode(d *msgpack.Decoder, b *countedBody) error {
	*r = Request{}
	if message.IsMap(d) {
		return d.Decode((*namedRequest)(r))
	}
	err := message.DecodeArray(d, (*string)(&r.ID), &r.Service, &r.Operation, (*string)(&r.Key), &r.Remaining, &r.To, &r.Sent,
		&r.RetryBudget, (*message.List[string])(&r.DeclinedBy), b, &r.HTTP)
	r.Body, r.Held, r.BodySkipped = b.body, b.held, b.skipped
	if err != nil {
		r.Held.Release()
	}
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *Answer) DecodeMsgpack(d *msgpack.Decoder) error { return a.decode(d, &countedBody{}) }

func (a *Answer) decode(d *msgpack.Decoder, b *countedBody) error {
	*a = Answer{}
	if message.IsMap(d) {
		return d.Decode((*namedAnswer)(a))
	}
	err := message.DecodeArray(d, (*string)(&a.ID), (*string)(&a.Status), &a.Reason, &a.RetryAfter, &a.RetriesUsed, &a.Leaving,
		&a.Declined, b, &a.HTTP, &a.ReachedTarget, &a.Load, &a.InstanceExit, &a.NoRetry, &a.Piggyback)
	a.Body, a.Held = b.body, b.held
	if b.skipped {
		a.Status, a.Reason, a.HTTP = Unknown, memory.ErrNoMemory.Error(), nil
	}
	if err != nil {
		a.Held.Release()
	}
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *InstanceExit) DecodeMsgpack(d *msgpack.Decoder) error {
	*e = InstanceExit{}
	return message.DecodeArray(d, &e.ID, &e.Isolated)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Field) DecodeMsgpack(d *msgpack.Decoder) error {
	*f = Field{}
	return message.DecodeArray(d, &f.Name, &f.Value)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *HTTPRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = HTTPRequest{}
	return message.DecodeArray(d, &r.Method, &r.Host, &r.URI, (*message.List[Field])(&r.Header), &r.Caller, (*uint16)(&r.Level), &r.Child, &r.Retry,
		&r.Idempotent, &r.MaxQueueWait)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *HTTPAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	*a = HTTPAnswer{}
	return message.DecodeArray(d, &a.Code, (*message.List[Field])(&a.Header))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = Load{}
	return message.DecodeArray(d, &l.InFlight, &l.Queued, &l.Limit, (*uint16)(&l.Threshold), &l.FailureRate, &l.OverloadSlotTime, &l.Slowdown, &l.Bottleneck)
}
