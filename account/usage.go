package account

import (
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Source names who tells of usage: a node, or a data centre's collector for
	// all of its nodes.
	Source string

	// Usage is what a source was asked for on one account, and let in, since it
	// told before.
	Usage struct {
		_msgpack struct{} `msgpack:",as_array"`
		Account  Name
		Asked    int32
		Admitted int32 // less what was given back
	}

	// Report is what a source tells. An empty one says that it is there and
	// has nothing more to tell.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"`
		From     Source
		// Gathered says that it is of a whole data centre, and is not to be
		// told on.
		Gathered bool
		Usage    []Usage
		// Standby says that it is for a node that may take the place of the one
		// that tells: what was let in counts, and who asked does not.
		Standby bool
		// Moved says that the node tells another collector from now on.
		Moved bool
	}

	// Standing is how an account stands over all nodes, for one source.
	Standing struct {
		_msgpack struct{} `msgpack:",as_array"`
		Account  Name
		Tokens   float32 // that the source may take; below 0 where all took too many
		Share    float32 // of the rate that is the source's, by what it is usually asked for
		// Free says that there are so many left that nothing is held back: the
		// source may take them at the whole rate.
		Free bool
	}

	// Standings is the answer to a Report.
	Standings struct {
		_msgpack struct{} `msgpack:",as_array"`
		Of       []Standing
	}
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (u *Usage) DecodeMsgpack(d *msgpack.Decoder) error {
	*u = Usage{}
	return message.Decode(d, (*string)(&u.Account), &u.Asked, &u.Admitted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Report{}
	return message.Decode(d, (*string)(&r.From), &r.Gathered, (*message.List[Usage])(&r.Usage), &r.Standby, &r.Moved)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Standing) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = Standing{}
	return message.Decode(d, (*string)(&s.Account), &s.Tokens, &s.Share, &s.Free)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Standings) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = Standings{}
	return message.Decode(d, (*message.List[Standing])(&s.Of))
}
