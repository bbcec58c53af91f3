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
	// read, and its head if that is large. Without room for either, it is not held and
	// BodySkipped is set.
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
	if err := x.Request.decode(d, &x.body); err != nil {
		return err
	}
	x.Request.countHead(x.Account)
	return nil
}

// countHead counts a large head, of which an entry node lets in a few, but many of them
// may send theirs to one node.
func (r *Request) countHead(account *memory.Account) {
	if r.HTTP == nil {
		return
	}
	text := len(r.HTTP.URI)
	for _, f := range r.HTTP.Header {
		text += len(f.Name) + len(f.Value)
	}
	cost := memory.HeadCost(text, len(r.HTTP.Header))
	if cost <= memory.OrdinaryHead {
		return
	}
	if !account.Take(cost) {
		r.HTTP.Header, r.BodySkipped = nil, true
		return
	}
	r.Held = r.Held.Join(memory.NewHold(account, cost))
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
