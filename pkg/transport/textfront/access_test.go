package textfront

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textforward"
)

// testKey is the key with which dial starts a session.
const testKey = "me"

const testRevocationTime = 5 * time.Second

// useAccounts publishes a configuration of the version in which the account
// "acme" has these keys. It is confirmed as of now.
func (f *fixture) useAccounts(version catalog.Version, keys ...string) {
	if f.server.config.RevocationTime == 0 {
		f.server.config.RevocationTime = testRevocationTime
	}
	account := catalog.Caller{Name: "acme"}
	for _, key := range keys {
		account.Keys = append(account.Keys, model.DigestKey(key))
	}
	f.publish(func(changed *region.Snapshot) {
		plain := catalog.New(version, changed.Catalog.Routes, changed.Catalog.Groups, changed.Catalog.Limits)
		changed.Catalog = plain.WithCallers([]catalog.Caller{account, {Name: "other", Keys: []model.KeyDigest{model.DigestKey("x")}}})
		changed.ConfirmedAt = f.dispatch.Now()
	})
}

// removeAccount publishes a configuration without the account "acme".
func (f *fixture) removeAccount(version catalog.Version) {
	f.publish(func(changed *region.Snapshot) {
		plain := catalog.New(version, changed.Catalog.Routes, changed.Catalog.Groups, changed.Catalog.Limits)
		changed.Catalog = plain.WithCallers([]catalog.Caller{{Name: "other", Keys: []model.KeyDigest{model.DigestKey("x")}}})
	})
}

// confirmedBefore sets the age of the confirmation.
func (f *fixture) confirmedBefore(age time.Duration) {
	f.publish(func(changed *region.Snapshot) { changed.ConfirmedAt = f.dispatch.Now() - age })
}

// publish publishes a changed copy of the snapshot.
func (f *fixture) publish(change func(*region.Snapshot)) {
	changed := *f.snapshot
	change(&changed)
	f.snapshot = &changed
	f.dispatch.Publish(f.snapshot)
}

// start sends a first line, and returns what the server sends until it closes
// the connection or is ready.
func (f *fixture) start(line string) string {
	conn, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, line+"\r\n")
	Expect(err).NotTo(HaveOccurred())
	var received strings.Builder
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		received.WriteString(line)
		if err == io.EOF {
			return received.String() + "closed"
		}
		Expect(err).NotTo(HaveOccurred())
		if strings.HasPrefix(line, "READY") {
			return received.String()
		}
	}
}

var _ = Describe("the start of a session", func() {
	DescribeTable("is refused without a valid key",
		func(rest, answer string) {
			f := newFixture(catalog.Route{}, startUpstream())
			f.useAccounts(2, testKey)
			Expect(f.start("START " + name + rest)).To(Equal("ERROR " + answer + "\r\nclosed"))
		},
		Entry("unknown key", " you", "DENIED not run: the access key is not valid"),
		Entry("no key", "", "DENIED the access key is missing"),
		Entry("empty key", " ", "DENIED the access key is missing"),
		Entry("key with a blank", " me too", "DENIED the access key contains a blank or a control character"),
		Entry("key with a control character", " m\x01e", "DENIED the access key contains a blank or a control character"),
		Entry("long key", " "+strings.Repeat("k", 1<<18), "DENIED the access key is too long"),
		// Guards against a connection that is closed without an answer.
		Entry("key of 1 MiB", " "+strings.Repeat("k", 1<<20), "TOOLARGE message too large"),
		Entry("key of 3 MiB", " "+strings.Repeat("k", 3<<20), "TOOLARGE message too large"),
	)

	It("is accepted with a valid key, without one on a public route, and with any in a configuration without accounts", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		Expect(f.start("START " + name)).To(HavePrefix("READY"))
		Expect(f.start("START " + name + " any key")).To(HavePrefix("READY"))
		f.useAccounts(2, testKey)
		Expect(f.start("START " + name + " " + testKey)).To(HavePrefix("READY"))
		public := newFixture(catalog.Route{Public: true}, startUpstream())
		public.useAccounts(2)
		Expect(public.start("START " + name)).To(HavePrefix("READY"))
		Expect(public.dial().query("READ a")).To(HavePrefix("DATAROW"))
	})
})

var _ = Describe("a refused start", func() {
	// Guards against an access key in the log of a caller that gives it in the place
	// of the database.
	It("does not log an access key that is given as the database", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		var logged strings.Builder
		f.server.recorder = newRecorder(slog.New(slog.NewTextHandler(&logged, nil)))
		const key = "key-5d1e77"
		f.useAccounts(2, key)
		Expect(f.start("START " + key + " " + name)).To(HavePrefix("ERROR NODATABASE"))
		Expect(logged.String()).To(ContainSubstring("database="))
		Expect(logged.String()).NotTo(ContainSubstring(key))
	})
})

// Guards against a final answer from a configuration that was replaced: databases that
// had been added were said not to exist.
var _ = Describe("an instance whose configuration may have been replaced", func() {
	const unconfirmed = "ERROR BUSY not run: the configuration is not confirmed, retry after 1000 ms"

	unconfirmedFor := func(age time.Duration) *fixture {
		f := newFixture(catalog.Route{}, startUpstream())
		f.server.config.ApplyTime = testRevocationTime
		f.useAccounts(2, testKey)
		f.confirmedBefore(age)
		return f
	}

	DescribeTable("does not refuse a start for good",
		func(line string) {
			f := unconfirmedFor(testRevocationTime + time.Second)
			Expect(f.start(line)).To(Equal(unconfirmed + "\r\nclosed"))
		},
		Entry("of an unknown database", "START unknown "+testKey),
		Entry("with an unknown key", "START "+name+" you"),
	)

	It("does not refuse a statement for good, of a session whose route is gone", func() {
		f := unconfirmedFor(0)
		caller := f.dial()
		f.publish(func(changed *region.Snapshot) {
			changed.Catalog = catalog.New(3, nil, changed.Catalog.Groups, changed.Catalog.Limits)
			changed.ConfirmedAt = f.dispatch.Now() - testRevocationTime - time.Second
		})
		Expect(caller.query("READ a")).To(HavePrefix(unconfirmed))
		Expect(caller.query("BEGIN")).To(HavePrefix(unconfirmed))
	})

	It("refuses for good while it is confirmed", func() {
		f := unconfirmedFor(0)
		Expect(f.start("START unknown " + testKey)).To(HavePrefix("ERROR NODATABASE"))
		Expect(f.start("START " + name + " you")).To(HavePrefix("ERROR DENIED"))
	})
})

const denied = "ERROR DENIED not run: the access key is not valid"

var _ = Describe("an open session", func() {
	// Guards against a check at the start of a session only, which lets an open
	// session outlast the removal of its key.
	DescribeTable("is denied each statement after its key was removed",
		func(remove func(f *fixture)) {
			u := startUpstream()
			f := newFixture(catalog.Route{}, u)
			f.useAccounts(2, testKey, "second")
			c := f.dial()
			Expect(c.query("READ a")).To(HavePrefix("DATAROW"))
			remove(f)
			for _, text := range []string{"READ a", "WRITE a 1", "BEGIN", "SET a b", "PREPARE p READ q"} {
				Expect(c.query(text)).To(Equal(denied + "|READY I -"))
			}
			Expect(u.statements()).To(HaveLen(1))
		},
		Entry("the key", func(f *fixture) { f.useAccounts(3, "second") }),
		Entry("all keys", func(f *fixture) { f.useAccounts(3) }),
		Entry("the account", func(f *fixture) { f.removeAccount(3) }),
		Entry("two removals in a row", func(f *fixture) {
			f.useAccounts(3, "second")
			f.useAccounts(4)
		}),
	)

	DescribeTable("loses its transaction when its key is removed, and nothing of it is kept",
		func(text, state string) {
			u := startUpstream()
			f := newFixture(catalog.Route{}, u)
			f.useAccounts(2, testKey)
			c := f.dial()
			c.query("BEGIN")
			Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
			f.useAccounts(3)
			Expect(c.query(text)).To(Equal(denied + "|" + state))
			Expect(u.statements()).To(Equal([]string{"- BEGIN", "id1 WRITE a 1", "- ROLLBACK"}))
			if state == "READY E -" {
				Expect(c.query("ROLLBACK")).To(Equal("COMPLETE -|READY I -"))
			}
			Expect(c.query("READ a")).To(HavePrefix(denied))
		},
		Entry("found at a statement", "WRITE a 2", "READY E -"),
		Entry("found at the commit", "COMMIT", "READY I -"),
		Entry("found at the rollback", "ROLLBACK", "READY I -"),
	)

	// Guards against a unit that runs after its key was removed while it waited. It
	// waits for an upstream that is slow to set a session value.
	It("is denied a statement that waits while its key is removed", func() {
		u := startUpstream()
		release := make(chan struct{})
		u.setAnswers(func(text string) []string {
			if strings.HasPrefix(text, "SET") {
				<-release
			}
			return []string{"COMPLETE sig"}
		})
		f := newFixture(catalog.Route{Timeout: time.Minute}, u)
		f.useAccounts(2, testKey)
		c := f.dial()
		c.query("SET mode x")
		_, _ = fmt.Fprint(c.conn, "QUERY id2 WRITE a 2\r\n")
		Eventually(u.statements).Should(ContainElement("- SET mode x"))
		f.useAccounts(3)
		close(release)
		Expect(c.answer()).To(Equal(denied + "|READY I -"))
		Expect(u.statements()).To(Equal([]string{"- SET mode x"}))
	})

	// Guards against an instance that is cut off and so does not learn of removed keys.
	It("runs nothing while the confirmation of the configuration is too old", func() {
		u := startUpstream()
		f := newFixture(catalog.Route{}, u)
		f.useAccounts(2, testKey)
		c := f.dial()
		f.confirmedBefore(testRevocationTime * 4 / 5)
		Expect(c.query("READ a")).To(MatchRegexp(`^ERROR BUSY not run: confirmation too old, retry after \d+ ms\|READY I -$`))
		f.confirmedBefore(testRevocationTime / 2)
		Expect(c.query("READ a")).To(HavePrefix("DATAROW"))
		c.query("BEGIN")
		Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
		f.confirmedBefore(testRevocationTime)
		Expect(c.query("WRITE a 2")).To(MatchRegexp(`^ERROR ABORTED .*READY E -$`))
		Expect(u.statements()).To(ContainElement("- ROLLBACK"))
		Expect(u.statements()).NotTo(ContainElement("id1 WRITE a 2"))
	})

	DescribeTable("runs whatever the age of the confirmation",
		func(route catalog.Route, prepare func(f *fixture)) {
			f := newFixture(route, startUpstream())
			f.useAccounts(2, testKey)
			f.confirmedBefore(time.Hour)
			prepare(f)
			Expect(f.dial().query("READ a")).To(HavePrefix("DATAROW"))
		},
		Entry("on a public route", catalog.Route{Public: true}, func(*fixture) {}),
		Entry("without a bound", catalog.Route{}, func(f *fixture) { f.server.config.RevocationTime = 0 }),
		Entry("without accounts", catalog.Route{}, func(f *fixture) {
			f.publish(func(changed *region.Snapshot) {
				changed.Catalog = catalog.New(3, changed.Catalog.Routes, changed.Catalog.Groups, changed.Catalog.Limits)
			})
		}),
	)
})

var _ = Describe("ServeForwarded with accounts", func() {
	// open passes a request to a server and returns its reply.
	open := func(f *fixture, change func(*meshpb.UnitRequest)) *meshpb.UnitReply {
		digest := model.DigestKey(testKey)
		request := &meshpb.UnitRequest{
			Unit: &meshpb.UnitOpen{Group: string(group), Caller: "acme", KeyDigest: digest[:], Configuration: 2},
			Kind: uint32(statement.Read), Id: "i", Text: "READ a", TimeLeftMs: 60_000,
		}
		change(request)
		near, far := loopback()
		DeferCleanup(near.Close)
		go f.server.ServeForwarded("peer", far)
		Expect(textforward.WriteFrame(near, request, time.Now().Add(time.Minute))).To(Succeed())
		reply := &meshpb.UnitReply{}
		Expect(textforward.ReadFrame(bufio.NewReader(near), reply)).To(Succeed())
		return reply
	}

	DescribeTable("decides by the key, the account and the configuration of the sender",
		func(change func(*meshpb.UnitRequest), refusal meshpb.UnitRefusal) {
			u := startUpstream()
			f := newFixture(catalog.Route{}, u)
			f.useAccounts(2, testKey)
			reply := open(f, change)
			Expect(reply.GetRefusal()).To(Equal(refusal))
			ran := refusal == meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED
			Expect(u.statements()).To(HaveLen(map[bool]int{true: 1}[ran]))
		},
		Entry("valid", func(*meshpb.UnitRequest) {}, meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED),
		Entry("unknown key", func(r *meshpb.UnitRequest) { r.Unit.KeyDigest[0]++ }, meshpb.UnitRefusal_UNIT_REFUSAL_DENIED),
		Entry("no key", func(r *meshpb.UnitRequest) { r.Unit.KeyDigest, r.Unit.Caller = nil, "" }, meshpb.UnitRefusal_UNIT_REFUSAL_DENIED),
		Entry("another account", func(r *meshpb.UnitRequest) { r.Unit.Caller = "other" }, meshpb.UnitRefusal_UNIT_REFUSAL_DENIED),
		Entry("digest of another size", func(r *meshpb.UnitRequest) { r.Unit.KeyDigest = []byte{1} }, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
		// A key that was just added must not be denied by a server that is behind.
		Entry("key that only the sender knows", func(r *meshpb.UnitRequest) {
			r.Unit.KeyDigest[0]++
			r.Unit.Configuration = 3
		}, meshpb.UnitRefusal_UNIT_REFUSAL_UNCONFIRMED),
		Entry("valid key and a newer sender", func(r *meshpb.UnitRequest) { r.Unit.Configuration = 3 },
			meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED),
		Entry("unknown key and an older sender", func(r *meshpb.UnitRequest) {
			r.Unit.KeyDigest[0]++
			r.Unit.Configuration = 1
		}, meshpb.UnitRefusal_UNIT_REFUSAL_DENIED),
	)

	// A request that was sent in time may have waited at the first instance.
	It("counts the age from the arrival at the first instance", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		f.useAccounts(2, testKey)
		f.confirmedBefore(testRevocationTime)
		Expect(open(f, func(*meshpb.UnitRequest) {}).GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_UNCONFIRMED))
		reply := open(f, func(r *meshpb.UnitRequest) { r.AgeUs = uint64((testRevocationTime / 2).Microseconds()) })
		Expect(reply.GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED))
	})

	It("needs no key for a route that is public here, and one for any other", func() {
		f := newFixture(catalog.Route{Name: "r", Public: true}, startUpstream())
		f.useAccounts(2, testKey)
		withoutKey := func(route string) func(*meshpb.UnitRequest) {
			return func(r *meshpb.UnitRequest) { r.Unit.KeyDigest, r.Unit.Caller, r.Unit.Route = nil, "", route }
		}
		Expect(open(f, withoutKey("r")).GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED))
		Expect(open(f, withoutKey("s")).GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_DENIED))
	})
})
