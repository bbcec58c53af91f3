package call

import (
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// ErrBadKey is returned for an idempotency key that does not have the form
// HOME.UUIDv7.
var ErrBadKey = eris.New("idempotency key is not HOME.UUIDv7, as in halle-nord.019ae0c5-8e55-7cc3-98c4-dc0c0c07398f")

// Key is an idempotency key of the form HOME.UUIDv7. Calls with the same key are
// the same operation and run at most once. HOME is the data centre to which the
// caller first sent the call, and the UUID's timestamp is the time at which the
// key was created, before the first attempt. Each child call appends
// /service.operation.
type Key string

// NewKey returns a new key for the home data centre with the current time.
func NewKey(home string) Key {
	return Key(home + "." + uuid.Must(uuid.NewV7()).String())
}

// Home returns the key's home data centre, or "" if the key is malformed.
func (k Key) Home() string {
	home, _, _ := k.split()
	return home
}

// Created returns when the key was created, in milliseconds of its creator's
// clock. It returns ErrBadKey for a malformed key.
func (k Key) Created() (time.Time, error) {
	_, id, ok := k.split()
	if !ok {
		return time.Time{}, ErrBadKey
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, ErrBadKey
	}
	return time.Unix(u.Time().UnixTime()).Truncate(time.Millisecond), nil
}

func (k Key) split() (home, id string, ok bool) {
	base, _, _ := strings.Cut(string(k), "/")
	i := strings.LastIndexByte(base, '.')
	if i <= 0 {
		return "", "", false
	}
	return base[:i], base[i+1:], true
}
