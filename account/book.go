package account

import (
	"crypto/sha256"
	"errors"
	"slices"

	"github.com/oatpin/oatpin/message"
	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by every error about accounts that do not hold
// together.
var ErrInvalid = eris.New("invalid client accounts")

type (
	// Name names a client account.
	Name string

	// Digest is what is kept of an API key: enough to know it again, and of no
	// use to whoever reads it in a message or in a process's memory.
	Digest [sha256.Size]byte

	// Account is one client account.
	Account struct {
		Name     Name
		Keys     message.List[Digest]
		Priority int     // 0 is refused last; goes before a route's
		Rate     float64 // requests a second over all nodes; 0 for no limit
		Burst    float64 // requests beyond that at once
	}

	// Book is the accounts of one version of the configuration. It never
	// changes.
	Book struct {
		all        []Account
		byKey      map[Digest]*Account
		byName     map[Name]*Account
		priorities []int // that accounts have, in order
	}
)

// DigestOf returns the Digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// NewBook checks accounts whole; the error wraps ErrInvalid and names every
// problem, by the names of accounts and never by their keys.
func NewBook(all []Account) (*Book, error) {
	b := &Book{all: all, byKey: map[Digest]*Account{}, byName: map[Name]*Account{}}
	var problems []error
	bad := func(a *Account, what string) {
		problems = append(problems, eris.Errorf("account %q: %s", a.Name, what))
	}
	for i := range all {
		a := &all[i]
		if a.Name == "" {
			bad(a, "no name")
		}
		if b.byName[a.Name] != nil {
			bad(a, "named twice")
		}
		b.byName[a.Name] = a
		if !(a.Rate >= 0) || !(a.Burst >= 0) {
			bad(a, "negative rate or burst")
		}
		for _, k := range a.Keys {
			if o := b.byKey[k]; o != nil && o.Name != a.Name {
				bad(a, "holds a key of "+string(o.Name))
			}
			if k == DigestOf("") {
				bad(a, "an empty key")
			}
			b.byKey[k] = a
		}
		b.priorities = append(b.priorities, a.Priority)
	}
	if len(problems) > 0 {
		return nil, eris.Wrap(ErrInvalid, errors.Join(problems...).Error())
	}
	slices.Sort(b.priorities)
	b.priorities = slices.Compact(b.priorities)
	return b, nil
}

// Holder returns the account that holds a key; nil for none. What is looked up
// is the key's hash, so the time that takes tells nothing of how much of a key
// is right.
func (b *Book) Holder(key string) *Account { return b.byKey[DigestOf(key)] }

// Find returns the account of a name; nil for none.
func (b *Book) Find(n Name) *Account { return b.byName[n] }

// All returns the accounts; they must not be changed.
func (b *Book) All() []Account { return b.all }

// Rank orders accounts by their priorities, from 0 without gaps. Callers
// without an account, on routes that are open to all, come with the last.
func (b *Book) Rank(a *Account) int {
	if a == nil {
		return max(len(b.priorities)-1, 0)
	}
	i, _ := slices.BinarySearch(b.priorities, a.Priority)
	return i
}

// Ranks is how many ranks there are, 1 at least.
func (b *Book) Ranks() int { return max(len(b.priorities), 1) }
