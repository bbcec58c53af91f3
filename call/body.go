package call

import (
	"github.com/oatpin/oatpin/memory"
	"github.com/vmihailenco/msgpack/v5"
)

// uncountedBody is the size in bytes up to which bodies are decoded without an
// account, so that nodes understand each other whatever their callers hold.
const uncountedBody = 4 << 10

type (
	// AnswerDecoder decodes an Answer whose body is counted in Account before it is
	// read. If there is no room, the body is skipped and the answer is Unknown.
	AnswerDecoder struct {
		Account *memory.Account
		Answer  *Answer
		body    countedBody
	}

	// RequestDecoder decodes a Request whose body is counted in Account before it is
	// read. If there is no room, the body is skipped and BodySkipped is set.
	RequestDecoder struct {
		Account *memory.Account
		Request *Request
		body    countedBody
	}

	// countedBody decodes a body into memory that it takes from an account.
	countedBody struct {
		account *memory.Account
		body    []byte
		held    *memory.Hold
		skipped bool
	}
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (x *AnswerDecoder) DecodeMsgpack(d *msgpack.Decoder) error {
	x.Answer, x.body = &Answer{}, countedBody{account: x.Account}
	return x.Answer.decode(d, &x.body)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (x *RequestDecoder) DecodeMsgpack(d *msgpack.Decoder) error {
	x.Request, x.body = &Request{}, countedBody{account: x.Account}
	return x.Request.decode(d, &x.body)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *countedBody) DecodeMsgpack(d *msgpack.Decoder) error {
	if b.account == nil {
		var err error
		b.body, err = d.DecodeBytes()
		return err
	}
	n, err := d.DecodeBytesLen()
	if err != nil || n < 0 {
		return err
	}
	if n <= uncountedBody {
		b.body = make([]byte, n)
		return d.ReadFull(b.body)
	}
	if b.skipped = !b.account.Take(int64(n)); b.skipped {
		return skipBytes(d, n)
	}
	b.held = memory.NewHold(b.account, int64(n))
	b.body = make([]byte, n)
	if err := d.ReadFull(b.body); err != nil {
		b.held.Release()
		return err
	}
	return nil
}

func skipBytes(d *msgpack.Decoder, n int) error {
	var scratch [4 << 10]byte
	for n > 0 {
		part := scratch[:min(n, len(scratch))]
		if err := d.ReadFull(part); err != nil {
			return err
		}
		n -= len(part)
	}
	return nil
}
