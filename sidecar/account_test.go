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
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	large = account.Account{Name: "large", Keys: []account.Digest{account.DigestOf("kl"), account.DigestOf("kl2")}, Priority: 1}
	small = account.Account{Name: "small", Keys: []account.Digest{account.DigestOf("ks")}}
)

func newAccountRegistry(t testing.TB, all ...account.Account) *account.Registry {
	r, err := account.NewRegistry(all)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// newAccountMesh starts a node whose target serves none of the test routes and
// one whose target serves most of them. Callers need the key of account large
// or small.
func newAccountMesh(t *testing.T) *mesh {
	m := newMesh(t, "entwurf", "archiv")
	m.accounts = newAccountRegistry(t, large, small)
	m.updateAll(2)
	return m
}

// Guards against forged account headers and leaked keys: the target must
// receive only the name of the authenticated account.
func TestTargetReceivesAccountOfKey(t *testing.T) {
	m := newAccountMesh(t)
	Convey("The account header holds the key's account, whatever the caller sends", t, func() {
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
	Convey("On a public route the key is not forwarded either", t, func() {
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
	Convey("Without accounts both headers are forwarded", t, func() {
		m.accounts = nil
		m.updateAll(3)
		code, got := m.sendWithHeader(t, m.vms[0], "/read/x", http.Header{"Authorization": {"Key ks"}, "Account": {"large"}})
		So(code, ShouldEqual, http.StatusOK)
		So(got["Account"], ShouldResemble, []string{"large"})
		So(got["Authorization"], ShouldResemble, []string{"Key ks"})
	})
}

// A request with an unknown key must not be executed. It gets 401, or 503
// while a newer version may contain the key.
func TestUnknownKeyIsRejected(t *testing.T) {
	m := newAccountMesh(t)
	v := m.vms[0]
	unknown := [][]string{nil, {""}, {"Key"}, {"Key "}, {"kl"}, {"Bearer kl"}, {"Key no"}, {"Key kl,Key ks"}, {"Key kl", "Key kl"}}
	Convey("401, and the request is not executed", t, func() {
		for _, auth := range unknown {
			code, got := m.sendWithHeader(t, v, "/read/x", http.Header{"Authorization": auth})
			So(code, ShouldEqual, http.StatusUnauthorized)
			So(got, ShouldBeNil)
		}
	})
	Convey("A removed key is rejected, an added key is accepted", t, func() {
		code, _ := m.sendWithHeader(t, v, "/read/x", http.Header{"Authorization": {"Key kl"}})
		So(code, ShouldEqual, http.StatusOK)
		other := large
		other.Keys = []account.Digest{account.DigestOf("kl2"), account.DigestOf("new")}
		m.accounts = newAccountRegistry(t, other, small)
		m.updateAll(3)
		for key, want := range map[string]int{"kl": http.StatusUnauthorized, "kl2": http.StatusOK, "new": http.StatusOK} {
			code, _ := m.sendWithHeader(t, v, "/read/x", http.Header{"Authorization": {"Key " + key}})
			So(code, ShouldEqual, want)
		}
	})
	Convey("While the source is unavailable, 503 with Retry-After", t, func() {
		v.dir.SourceAnswered()
		v.dir.SourceFailed(time.Now(), errors.New("gone"))
		id, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key no"})
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		_, got = m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key ks"})
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// Child requests carry no key. They are accepted only while their parent is
// running.
func TestChildRequestsNeedNoKey(t *testing.T) {
	m := newAccountMesh(t)
	Convey("A child request is served without an account", t, func() {
		var inner reply
		m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Request-Id")
			if _, isChild := parentID(requestID(id)); !isChild {
				_, inner = m.send(context.Background(), m.vms[1], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": id + ".c1", "Account": "large"})
			}
			writeSigned(w, r, http.StatusOK, r.Header.Get("Account"))
		})
		code, _ := m.sendWithHeader(t, m.vms[0], "/read/x", http.Header{"Authorization": {"Key ks"}})
		So(code, ShouldEqual, http.StatusOK)
		So(inner.code, ShouldEqual, http.StatusOK)
		So(inner.body, ShouldBeEmpty)
	})
	Convey("A child request without a running parent gets 503", t, func() {
		id, got := m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "gone.c1"})
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		_, got = m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "gone.c2", "Authorization": "Key no"})
		So(got.code, ShouldEqual, http.StatusUnauthorized)
	})
}

func TestAccountRankPrecedesRouteRank(t *testing.T) {
	routes, err := directory.NewRoutes(1, directory.Limits{}, testRoutes)
	if err != nil {
		t.Fatal(err)
	}
	routes.Accounts = newAccountRegistry(t, large, small)
	rank := func(a *account.Account, route int) int {
		r, total := routes.Rank(a, &testRoutes[route])
		return admit.ScaleRank(r, total)
	}
	Convey("Ranks order by account, then by route; requests without an account rank last", t, func() {
		const read, publish, lookup, open = 0, 1, 2, 3
		order := []int{rank(&small, publish), rank(&small, lookup), rank(&small, read), rank(&large, publish), rank(&large, lookup), rank(&large, read)}
		So(order, ShouldResemble, []int{0, 1, 2, 3, 4, 5})
		So(rank(nil, open), ShouldEqual, rank(&large, read))
	})
	Convey("Excess ranks are merged in order", t, func() {
		var ranks []int
		for i := range 12 {
			ranks = append(ranks, admit.ScaleRank(i, 12))
		}
		So(slices.IsSorted(ranks), ShouldBeTrue)
		So(ranks[0], ShouldEqual, 0)
		So(ranks[11], ShouldEqual, 7)
		So(admit.ScaleRank(11, 0), ShouldEqual, 11)
	})
}

// sendWithHeader sends a GET request with exactly the header fields in h and
// returns the header that the target received; nil if it was not executed.
func (m *mesh) sendWithHeader(t testing.TB, v *vm, path string, h http.Header) (int, http.Header) {
	id := "h" + time.Now().Format("150405.000000000")
	id = id[:7] + id[8:]
	req, err := http.NewRequest(http.MethodGet, "http://"+v.node.cfg.CallerAddr+path, nil)
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

// A request over the rate limit gets 429 with Retry-After. Requests that are
// not executed for another reason must not count against the limit.
func TestAccountOverRateLimitIsRefused(t *testing.T) {
	m := newMesh(t, "entwurf", "archiv")
	v := m.vms[0]
	limited := account.Account{Name: "limited", Keys: []account.Digest{account.DigestOf("k")}, Rate: 4, Burst: 2}
	m.accounts = newAccountRegistry(t, limited, small)
	m.updateAll(2)
	send := func(key string) (string, reply) {
		return m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key " + key})
	}
	Convey("429 with Retry-After, and the request is not executed", t, func() {
		admitted, refused := 0, 0
		for range 40 {
			id, got := send("k")
			if got.code == http.StatusOK {
				admitted++
				continue
			}
			refused++
			So(got.code, ShouldEqual, http.StatusTooManyRequests)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(after, ShouldBeBetween, 0, 5.1)
			So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		}
		So(admitted, ShouldBeBetween, 1, 20)
		So(refused, ShouldBeGreaterThan, 10)
		_, got := send("ks")
		So(got.code, ShouldEqual, http.StatusOK)
	})
	Convey("A refusal for overload does not consume the limit", t, func() {
		v.node.limiter.SetRegistry(newAccountRegistry(t, small)) // resets the usage
		v.node.admission = admitLevelZero{}
		for range 40 {
			_, got := send("k")
			So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		}
		v.node.admission = admit.Unlimited{}
		_, got := send("k")
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// Guards against the limit of a former account that is applied to one added after
// a version of the routes without accounts.
func TestAccountsAreForgottenWithRoutesWithoutAccounts(t *testing.T) {
	m := newMesh(t, "entwurf", "archiv")
	update := func(v callgraph.Version, accounts *account.Registry) {
		m.accounts = accounts
		m.updateAll(v)
	}
	withLimit := func(rate float64) *account.Registry {
		return newAccountRegistry(t, account.Account{Name: "limited", Keys: []account.Digest{account.DigestOf("k")}, Rate: rate, Burst: rate})
	}
	send := func() int {
		_, got := m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key k"})
		return got.code
	}
	Convey("A request within the new limit is served", t, func() {
		update(2, withLimit(1))
		code := send()
		for range 10 {
			code = send()
		}
		So(code, ShouldEqual, http.StatusTooManyRequests)
		update(3, nil)
		update(4, withLimit(1000))
		So(send(), ShouldEqual, http.StatusOK)
	})
}

// Two nodes receive requests of one account. Without exchanging usage, each
// would admit the whole limit.
func TestNodesShareAccountUsage(t *testing.T) {
	m := newMesh(t, "archiv", "archiv")
	limited := account.Account{Name: "limited", Keys: []account.Digest{account.DigestOf("k")}, Rate: 40, Burst: 40}
	m.accounts = newAccountRegistry(t, limited)
	m.updateAll(2)
	Convey("Both nodes together admit the limit within tolerance", t, func() {
		const sent = 500
		admitted, began := 0, time.Now()
		for i := range sent {
			_, got := m.send(context.Background(), m.vms[i%2], http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Key k"})
			if got.code == http.StatusOK {
				admitted++
			}
			time.Sleep(4 * time.Millisecond)
		}
		// The rate and the burst, plus a tolerance of 25 %. Two nodes without
		// exchange admit twice the rate.
		took := time.Since(began).Seconds()
		So(admitted, ShouldBeLessThanOrEqualTo, int(1.25*(limited.Rate*took+limited.Burst)))
		So(admitted, ShouldBeGreaterThanOrEqualTo, min(sent, int(limited.Rate*took/2)))
	})
}

// Guards against callers with a removed or unknown key that run requests by
// numbering them after one in progress at the local target.
func TestRequestWithKeyIsNeverAChild(t *testing.T) {
	m := newAccountMesh(t)
	v := m.vms[1]
	running, finish := make(chan struct{}), make(chan struct{})
	v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "parent" {
			close(running)
			<-finish
		}
		writeSigned(w, r, http.StatusOK, r.Header.Get("Account"))
	})
	done := make(chan reply, 1)
	go func() {
		_, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "parent", "Authorization": "Key ks"})
		done <- got
	}()
	<-running
	Convey("Its key decides, whatever its ID", t, func() {
		for i, c := range []struct {
			key  string
			code int
			body string
		}{{"Key no", http.StatusUnauthorized, ""}, {"Key", http.StatusUnauthorized, ""}, {"Bearer kl", http.StatusUnauthorized, ""}, {"Key kl", http.StatusOK, "large"}} {
			id, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "parent." + strconv.Itoa(i), "Authorization": c.key})
			So(got.code, ShouldEqual, c.code)
			if c.code == http.StatusOK {
				So(got.body, ShouldEqual, c.body)
			} else {
				So(v.target.runCount(id), ShouldEqual, 0)
			}
		}
	})
	Convey("A child request ends with its parent at the latest", t, func() {
		time.Sleep(300 * time.Millisecond)
		_, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Request-Id": "parent.c", "Deadline-Ms": ""})
		So(got.code, ShouldEqual, http.StatusOK)
		ms, err := strconv.Atoi(v.target.last.Header.Get("Deadline-Ms"))
		So(err, ShouldBeNil)
		parent, ok := v.node.running.childStarted("parent.x")
		So(ok, ShouldBeTrue)
		So(time.Now().Add(time.Duration(ms)*time.Millisecond), ShouldHappenBefore, parent.deadline.Add(100*time.Millisecond))
	})
	close(finish)
	Convey("The parent is not affected", t, func() { So((<-done).code, ShouldEqual, http.StatusOK) })
}
