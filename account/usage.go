package account

import (
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Source identifies the sender of a report: a node, or a data centre whose
	// collector reports for all of its nodes.
	Source string

	// Usage is the number of requests for one account that a source received
	// and admitted since its previous report.
	Usage struct {
		_msgpack  struct{} `msgpack:",as_array"`
		Account   Name
		Requested int32
		Admitted  int32 // less refunded tokens
	}

	// Report is the usage that a source sends to a collector. It is sent
	// without usage as a heartbeat.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"`
		From     Source
		// Aggregated means that the usage is of a whole data centre
		// and must not be forwarded.
		Aggregated bool
		Usage      []Usage
		// Standby means that the receiver is the sender's standby. Admitted
		// requests count, demand does not.
		Standby bool
		// Moved means that the sender reports to another collector from now on.
		Moved bool
	}

	// Quota is what one source may use of an account's rate limit, computed
	// from the usage of all sources.
	Quota struct {
		_msgpack struct{} `msgpack:",as_array"`
		Account  Name
		Tokens   float32 // available to the source; negative after overuse
		Share    float32 // fraction of the rate for the source, from its baseline demand
		// Unrestricted means that enough tokens are left for the
		// source to use the account's full rate.
		Unrestricted bool
	}

	// Quotas is the answer to a Report.
	Quotas struct {
		_msgpack struct{} `msgpack:",as_array"`
		Entries  []Quota
	}
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (u *Usage) DecodeMsgpack(d *msgpack.Decoder) error {
	*u = Usage{}
	return message.DecodeArray(d, (*string)(&u.Account), &u.Requested, &u.Admitted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Report{}
	return message.DecodeArray(d, (*string)(&r.From), &r.Aggregated, (*message.List[Usage])(&r.Usage), &r.Standby, &r.Moved)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (q *Quota) DecodeMsgpack(d *msgpack.Decoder) error {
	*q = Quota{}
	return message.DecodeArray(d, (*string)(&q.Account), &q.Tokens, &q.Share, &q.Unrestricted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (q *Quotas) DecodeMsgpack(d *msgpack.Decoder) error {
	*q = Quotas{}
	return message.DecodeArray(d, (*message.List[Quota])(&q.Entries))
}
