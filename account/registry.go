package account

import (
	"crypto/sha256"
	"errors"
	"slices"

	"github.com/oatpin/oatpin/message"
	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by every error that NewRegistry returns.
var ErrInvalid = eris.New("invalid client accounts")

type (
	// Name is the name of a client account.
	Name string

	// Digest is the SHA-256 hash of an API key. Keys are stored and compared as
	// digests only, so that neither messages nor process memory reveal them.
	Digest [sha256.Size]byte

	// Account is the configuration of one client account.
	Account struct {
		Name     Name
		Keys     message.List[Digest]
		Priority int     // 0 is the highest; takes precedence over the route's
		Rate     float64 // requests per second over all nodes; 0 for no limit
		Burst    float64 // requests admitted beyond Rate at once
	}

	// Registry holds the accounts of one configuration version. It is
	// immutable and safe for concurrent use.
	Registry struct {
		all        []Account
		byKey      map[Digest]*Account
		byName     map[Name]*Account
		priorities []int // distinct, ascending
	}
)

// DigestOf returns the Digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// NewRegistry validates the accounts and indexes them. The error wraps
// ErrInvalid and lists every problem by account name, without keys.
func NewRegistry(all []Account) (*Registry, error) {
	r := &Registry{all: all, byKey: map[Digest]*Account{}, byName: map[Name]*Account{}}
	var problems []error
	addProblem := func(a *Account, reason string) {
		problems = append(problems, eris.Errorf("account %q: %s", a.Name, reason))
	}
	for i := range all {
		a := &all[i]
		if a.Name == "" {
			addProblem(a, "missing name")
		}
		if r.byName[a.Name] != nil {
			addProblem(a, "duplicate name")
		}
		r.byName[a.Name] = a
		if !(a.Rate >= 0) || !(a.Burst >= 0) {
			addProblem(a, "rate and burst must be non-negative numbers")
		}
		for _, k := range a.Keys {
			if other := r.byKey[k]; other != nil && other.Name != a.Name {
				addProblem(a, "API key also belongs to account "+string(other.Name))
			}
			if k == DigestOf("") {
				addProblem(a, "empty API key")
			}
			r.byKey[k] = a
		}
		r.priorities = append(r.priorities, a.Priority)
	}
	if len(problems) > 0 {
		return nil, eris.Wrap(ErrInvalid, errors.Join(problems...).Error())
	}
	slices.Sort(r.priorities)
	r.priorities = slices.Compact(r.priorities)
	return r, nil
}

// ByKey returns the account that an API key belongs to, or nil. The lookup is
// by hash, so its timing does not reveal how much of a key is correct.
func (r *Registry) ByKey(key string) *Account { return r.byKey[DigestOf(key)] }

// ByName returns the account with the given name, or nil.
func (r *Registry) ByName(n Name) *Account { return r.byName[n] }

// All returns all accounts. The caller must not modify the slice.
func (r *Registry) All() []Account { return r.all }

// Rank returns the position of the account's priority among the distinct
// priorities, starting at 0 for the highest. A nil account (a caller without a
// key on an open route) gets the lowest rank.
func (r *Registry) Rank(a *Account) int {
	if a == nil {
		return max(len(r.priorities)-1, 0)
	}
	i, _ := slices.BinarySearch(r.priorities, a.Priority)
	return i
}

// NumRanks returns the number of distinct ranks, at least 1.
func (r *Registry) NumRanks() int { return max(len(r.priorities), 1) }
