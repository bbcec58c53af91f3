package quarantine

import (
	"github.com/oatpin/oatpin/message"
	"github.com/vmihailenco/msgpack/v5"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Cursor) DecodeMsgpack(d *msgpack.Decoder) error {
	*c = Cursor{}
	return message.DecodeArray(d, &c.Epoch, &c.Seq)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Report{}
	return message.DecodeArray(d, &r.Next, (*message.List[Record])(&r.Records))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Record) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Record{}
	return message.DecodeArray(d, (*uint64)(&r.Fingerprint), (*message.List[Exit])(&r.Exits), (*message.List[Caller])(&r.AnsweredFor), &r.Age)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *Exit) DecodeMsgpack(d *msgpack.Decoder) error {
	*e = Exit{}
	return message.DecodeArray(d, (*uint64)(&e.ID), (*string)(&e.Caller), &e.Isolated, &e.Answered)
}
