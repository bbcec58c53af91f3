package sidecar

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	large = account.Account{Name: "large", Keys: []account.Digest{account.DigestOf("kl"), account.DigestOf("kl2")}, Priority: 1}
	small = account.Account{Name: "small", Keys: []account.Digest{account.DigestOf("ks")}}
)

func newAccountBook(t testing.TB, all ...account.Account) *account.Book {
	b, err := account.NewBook(all)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// accountMesh is a node without targets of its service and one with; callers
// need a key of large or small.
func newAccountMesh(t *testing.T) *mesh {
	m := newMesh(t, "entwurf", "archiv")
	m.accounts = newAccountBook(t, large, small)
	m.updateAll(2)
	return m
}

// A target trusts the account that its node names. Whatever a caller writes in
// its place, or how, must not reach it, and neither must the key.
func TestTargetReceivesAccountOfKey(t *testing.T) {
	m := newAccountMesh(t)
	Convey("The holder, once, whatever the caller wrote", t, func() {
		for _, c := range []struct {
			header  http.Header
			account string
		}{
			{http.Header{"Authorization": {"Key kl"}}, "large"},
			{http.Header{"Authorization": {"key  kl2 "}}, "large"},
			{http.Header{"Authorization": {"Key ks"}, "Account": {"large"}}, "small"},
			{http.Header{"Authorization": {"Key ks"}, "Account": {"large", "small"}}, "small"},
			{http.Header{"authorization": {"Key ks"}, "aCCOUNT": {"large"}}, "small"},
			{http.Header{"Authorization": {"Key ks"}, "Account": {"large"}, "Connection": {"account"}}, "small"},
		} {
			code, got := m.sendWithHeader(t, m.vms[0], "/read/x", c.header)
			So(code, ShouldEqual, http.StatusOK)
			So(got["Account"], ShouldResemble, []string{c.account})
			So(got, ShouldNotContainKey, "Authorization")
		}
	})
	Convey("On a route that is open to all the key is kept back too", t, func() {
		code, got := m.sendWithHeader(t, m.vms[0], "/open/x", http.Header{"Authorization": {"Key ks"}})
		So(code, ShouldEqual, http.StatusOK)
		So(got["Account"], ShouldResemble, []string{"small"})
		for _, auth := range [][]string{nil, {"Key no"}, {"Basic a2w="}} {
			code, got = m.sendWithHeader(t, m.vms[0], "/open/x", http.Header{"Authorization": auth, "Account": {"large"}})
			So(code, ShouldEqual, http.StatusOK)
			So(got, ShouldNotContainKey, "Account")
			So(got, ShouldNotContainKey, "Authorization")
		}
	})
	Convey("Where callers need no account, both are headers like any other", t, func() {
		m.accounts = nil
		m.updateAll(3)
		code, got := m.sendWithHeader(t, m.vms[0], "/read/x", http.Header{"Authorization": {"Key ks"}, "Account": {"large"}})
		So(code, ShouldEqual, http.StatusOK)
		So(got["Account"], ShouldResemble, []string{"large"})
		So(got["Authorization"], ShouldResemble, []string{"Key ks"})
	})
}

// A request whose key no account holds must not run, and its caller is told so
// for good; not while a newer version may hold it.
func TestUnknownKeyIsRejected(t *testing.T) {
	m := newAccountMesh(t)
	n := m.vms[0]
	unknown := [][]string{nil, {""}, {"Key"}, {"Key "}, {"kl"}, {"Bearer kl"}, {"Key no"}, {"Key kl,Key ks"}, {"Key kl", "Key kl"}}
	Convey("401, and nothing runs", t, func() {
		for _, auth := range unknown {
			code, got := m.sendWithHeader(t, n, "/read/x", http.Header{"Authorization": auth})
			So(code, ShouldEqual, http.StatusUnauthorized)
			So(got, ShouldBeNil)
		}
	})
	Convey("A key that a newer version does not have is not taken any more, one that it adds is", t, func() {
		code, _ := m.sendWithHeader(t, n, "/read/x", http.Header{"Authorization": {"Key kl"}})
		So(code, ShouldEqual, http.StatusOK)
		other := large
		other.Keys = []account.Digest{account.DigestOf("kl2"), account.DigestOf("new")}
		m.accounts = newAccountBook(t, other, small)
		m.updateAll(3)
		for key, want := range map[string]int{"kl": http.StatusUnauthorized, "kl2": http.StatusOK, "new": http.StatusOK} {
			code, _ := m.sendWithHeader(t, n, "/read/x", http.Header{"Authorization": {"Key " + key}})
			So(code, ShouldEqual, want)
		}
	})
	Convey("While the source is away, 503 with when to come back", t, func() {
		n.dir.Back()
		n.dir.Away(time.Now(), errors.New("gone"))
		id, got := m.send(context.Background(), n, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key no"})
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		_, got = m.send(context.Background(), n, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key ks"})
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// A target's calls carry no key. They are let in for the request that runs;
// nobody else's are.
func TestChildRequestsNeedNoKey(t *testing.T) {
	m := newAccountMesh(t)
	Convey("A call of a running request is served, and names no account", t, func() {
		var inner reply
		m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Request-Id")
			if _, isCall := parentID(requestID(id)); !isCall {
				_, inner = m.send(context.Background(), m.vms[1], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": id + ".c1", "Account": "large"})
			}
			writeSigned(w, r, http.StatusOK, r.Header.Get("Account"))
		})
		code, _ := m.sendWithHeader(t, m.vms[0], "/read/x", http.Header{"Authorization": {"Key ks"}})
		So(code, ShouldEqual, http.StatusOK)
		So(inner.code, ShouldEqual, http.StatusOK)
		So(inner.body, ShouldBeEmpty)
	})
	Convey("One of a request that is not known to run is not run, and may come back", t, func() {
		id, got := m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "gone.c1"})
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		_, got = m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "gone.c2", "Authorization": "Key no"})
		So(got.code, ShouldEqual, http.StatusUnauthorized)
	})
}

// An account's rank goes before its route's.
func TestAccountRankPrecedesRouteRank(t *testing.T) {
	routes, err := directory.NewRoutes(1, directory.Limits{}, testRoutes)
	if err != nil {
		t.Fatal(err)
	}
	routes.Accounts = newAccountBook(t, large, small)
	rank := func(a *account.Account, route int) int {
		r, of := routes.Rank(a, &testRoutes[route])
		return admit.Squeeze(r, of)
	}
	Convey("First by account, then by route; callers without one come with the last", t, func() {
		const read, publish, lookup, open = 0, 1, 2, 3
		order := []int{rank(&small, publish), rank(&small, lookup), rank(&small, read), rank(&large, publish), rank(&large, lookup), rank(&large, read)}
		So(order, ShouldResemble, []int{0, 1, 2, 3, 4, 5})
		So(rank(nil, open), ShouldEqual, rank(&large, read))
	})
	Convey("More than are told apart are put together in their order", t, func() {
		var ranks []int
		for i := range 12 {
			ranks = append(ranks, admit.Squeeze(i, 12))
		}
		So(slices.IsSorted(ranks), ShouldBeTrue)
		So(ranks[0], ShouldEqual, 0)
		So(ranks[11], ShouldEqual, 7)
		So(admit.Squeeze(11, 0), ShouldEqual, 11)
	})
}

// withHeader sends a read with header fields as they stand, and returns what
// its target got; nil if it did not run.
func (m *mesh) sendWithHeader(t testing.TB, v *vm, path string, h http.Header) (int, http.Header) {
	id := "h" + time.Now().Format("150405.000000000")
	id = id[:7] + id[8:]
	req, err := http.NewRequest(http.MethodGet, "http://"+v.node.cfg.Callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Close = "h", true
	req.Header = h.Clone()
	req.Header["Request-Id"], req.Header["Deadline-Ms"] = []string{id}, []string{"2000"}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	f := m.vms[1].target
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runsByID[id] == 0 {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, f.last.Header
}

// An account sends more than it may. What is over is refused at the entry, with
// when there will be room, and is told from a refusal for overload; what did not
// run for another reason is not counted against it.
func TestAccountOverRateLimitIsRefused(t *testing.T) {
	m := newMesh(t, "entwurf", "archiv")
	n := m.vms[0]
	limited := account.Account{Name: "limited", Keys: []account.Digest{account.DigestOf("k")}, Rate: 4, Burst: 2}
	m.accounts = newAccountBook(t, limited, small)
	m.updateAll(2)
	send := func(key string) (string, reply) {
		return m.send(context.Background(), n, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key " + key})
	}
	Convey("429 with Retry-After, and it does not run", t, func() {
		ran, refused := 0, 0
		for range 40 {
			id, got := send("k")
			if got.code == http.StatusOK {
				ran++
				continue
			}
			refused++
			So(got.code, ShouldEqual, http.StatusTooManyRequests)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(after, ShouldBeBetween, 0, 5.1)
			So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		}
		So(ran, ShouldBeBetween, 1, 20)
		So(refused, ShouldBeGreaterThan, 10)
		_, got := send("ks")
		So(got.code, ShouldEqual, http.StatusOK)
	})
	Convey("What is refused for overload is given back", t, func() {
		n.node.limiter.Keep(newAccountBook(t, small)) // forgets what was taken
		n.node.admission = admitNone{}
		for range 40 {
			_, got := send("k")
			So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		}
		n.node.admission = admit.Everyone{}
		_, got := send("k")
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// Requests of one account come in at two nodes. Each must hear of what the other
// let in, or both let in the whole limit.
func TestNodesShareAccountUsage(t *testing.T) {
	m := newMesh(t, "archiv", "archiv")
	limited := account.Account{Name: "limited", Keys: []account.Digest{account.DigestOf("k")}, Rate: 40, Burst: 40}
	m.accounts = newAccountBook(t, limited)
	m.updateAll(2)
	Convey("Together they let in what it may, and a little more", t, func() {
		const sent = 500
		ran, began := 0, time.Now()
		for i := range sent {
			_, got := m.send(context.Background(), m.vms[i%2], http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key k"})
			if got.code == http.StatusOK {
				ran++
			}
			time.Sleep(4 * time.Millisecond)
		}
		// The rate, the burst and the quarter that operators allow besides; two
		// nodes that know nothing of each other let in twice the rate.
		took := time.Since(began).Seconds()
		So(ran, ShouldBeLessThanOrEqualTo, int(1.25*(limited.Rate*took+limited.Burst)))
		So(ran, ShouldBeGreaterThanOrEqualTo, min(sent, int(limited.Rate*took/2)))
	})
}
