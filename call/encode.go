package call

import (
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *Request) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 11)
	w.String(string(r.ID))
	w.String(r.Service)
	w.String(r.Operation)
	w.String(string(r.Key))
	w.Duration(r.Remaining)
	w.String(r.To)
	w.Time(r.Sent)
	w.Int(r.Budget)
	w.Strings(r.Passed)
	w.Bytes(r.Body)
	message.WriteMessage(&w, r.HTTP)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a *Answer) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 14)
	w.String(string(a.ID))
	w.String(string(a.Status))
	w.String(a.Reason)
	w.Duration(a.RetryAfter)
	w.Int(a.RetriesUsed)
	w.Bool(a.Leaving)
	w.Bool(a.Declined)
	w.Bytes(a.Body)
	message.WriteMessage(&w, a.HTTP)
	w.Bool(a.Reached)
	message.WriteMessage(&w, a.Load)
	message.WriteMessage(&w, a.Ended)
	w.Bool(a.Held)
	w.Bytes(a.News)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (x *End) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 2)
	w.Uint64(x.ID)
	w.Bool(x.Alone)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f *Field) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 2)
	w.String(f.Name)
	w.String(f.Value)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *HTTPRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 10)
	w.String(r.Method)
	w.String(r.Host)
	w.String(r.URI)
	message.WriteList(&w, r.Header)
	w.String(r.Caller)
	w.Uint16(uint16(r.Level))
	w.Bool(r.Begun)
	w.Bool(r.Repeat)
	w.Bool(r.Idempotent)
	w.Duration(r.Patience)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a *HTTPAnswer) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 2)
	w.Int(a.Code)
	message.WriteList(&w, a.Header)
	return w.Err()
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l *Load) EncodeMsgpack(e *msgpack.Encoder) error {
	w := message.NewWriter(e, 8)
	w.Int(l.Busy)
	w.Int(l.Queued)
	w.Int(l.Limit)
	w.Uint16(uint16(l.Admit))
	w.Float64(l.Failing)
	w.Duration(l.Scarce)
	w.Float64(l.Slow)
	w.String(l.Binds)
	return w.Err()
}
