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

	// Standing is the state of an account over all nodes, as sent to one
	// source.
	Standing struct {
		_msgpack struct{} `msgpack:",as_array"`
		Account  Name
		Tokens   float32 // available to the source; negative after overuse
		Share    float32 // fraction of the rate for the source, from its baseline demand
		// Unrestricted means that enough tokens are left for the
		// source to use the account's full rate.
		Unrestricted bool
	}

	// Standings is the answer to a Report.
	Standings struct {
		_msgpack struct{} `msgpack:",as_array"`
		Entries  []Standing
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
func (s *Standing) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = Standing{}
	return message.DecodeArray(d, (*string)(&s.Account), &s.Tokens, &s.Share, &s.Unrestricted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Standings) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = Standings{}
	return message.DecodeArray(d, (*message.List[Standing])(&s.Entries))
}
