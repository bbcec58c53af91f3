package call

import (
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// ErrBadKey is returned for an idempotency key that is not HOME.UUIDv7.
var ErrBadKey = eris.New("idempotency key is not HOME.UUIDv7, as in halle-nord.019ae0c5-8e55-7cc3-98c4-dc0c0c07398f")

// Key is an idempotency key: two calls with the same key are one action. It
// is written HOME.UUIDv7: HOME is the data centre the caller first sent the
// action to, and the UUID's own time says when the key was made, before any
// try of the action. Each sub-action adds /service.operation.
type Key string

// NewKey returns a key made now for the home data centre.
func NewKey(home string) Key {
	return Key(home + "." + uuid.Must(uuid.NewV7()).String())
}

// Home returns the data centre the key names, or "" for a malformed key.
func (k Key) Home() string {
	home, _, _ := k.split()
	return home
}

// Made returns when the key was made, to the millisecond, by its maker's
// clock. It returns ErrBadKey for a malformed key.
func (k Key) Made() (time.Time, error) {
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
