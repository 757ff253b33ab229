package textfront

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
)

func TestTextfront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "textfront")
}

var _ = Describe("a statement", func() {
	It("is sent to the upstream unchanged, and its answer is returned", func() {
		u := startUpstream()
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(u.statements()).To(Equal([]string{"id1 READ a"}))
	})

	It("that writes and gets no answer has an unknown outcome, and is sent once", func() {
		u := startUpstream()
		u.setAnswers(func(string) []string { return nil })
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(u.statements()).To(HaveLen(1))
	})

	// Found by a soak test (seed 4): the session of a statement that was sent
	// late in a stop was closed before the statement timed out.
	It("is answered before the end of a stop even if its timeout is later", func() {
		u := startUpstream()
		u.setAnswers(func(string) []string { return []string{} })
		f := newFixture(catalog.Route{Timeout: time.Hour}, u)
		c := f.dial()
		f.server.config.Stop = StopTimes{IdleCloseStart: time.Hour, IdleCloseEnd: time.Hour, AnswerBy: 50 * time.Millisecond}
		f.server.drain.Store(&drain{startedAt: time.Now(), stopping: true})
		Expect(c.query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(c.query("WRITE a 1")).To(HavePrefix("ERROR BUSY"))
	})

	It("that writes is retried if the upstream says that it did not run", func() {
		u := startUpstream()
		attempts := 0
		u.setAnswers(func(string) []string {
			attempts++
			if attempts < 3 {
				return []string{"ERROR BUSY full"}
			}
			return []string{"COMPLETE sig"}
		})
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("WRITE a 1")).To(Equal("COMPLETE sig|READY I -"))
	})

	It("that writes is not acknowledged if the primary was replaced meanwhile", func() {
		u, other := startUpstream(), startUpstream()
		f := newFixture(catalog.Route{}, u, other)
		u.setAnswers(func(string) []string {
			f.replacePrimary()
			return []string{"COMPLETE sig"}
		})
		Expect(f.dial().query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(other.statements()).To(BeEmpty())
	})

	It("that reads the latest data is retried at the new primary if the primary was replaced meanwhile", func() {
		u, other := startUpstream(), startUpstream()
		f := newFixture(catalog.Route{}, u, other)
		u.setAnswers(func(string) []string {
			f.replacePrimary()
			return []string{"DATAROW old", "COMPLETE sig"}
		})
		Expect(f.dial().query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(other.statements()).To(HaveLen(1))
	})

	It("that reads is retried at another upstream if its connection breaks", func() {
		u, other := startUpstream(), startUpstream()
		u.setAnswers(func(string) []string { return nil })
		f := newFixture(catalog.Route{Consistency: catalog.BoundedStaleness, MaxAge: time.Minute}, u, other)
		c := f.dial()
		broken := c.query("READ a")
		Expect(broken).To(HavePrefix("ERROR BUSY"))
		u.setAnswers(func(string) []string { return []string{"DATAROW v", "COMPLETE sig"} })
		f.dispatch.ProbeAnswered(group, "u0")
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		u.setAnswers(func(string) []string { return nil })
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(other.statements()).NotTo(BeEmpty())
	})

	// Guards against an upstream that fails part of its statements while its
	// health check passes: without retries, that part of all reads failed.
	It("that reads is retried a few times if an upstream fails to execute it", func() {
		u := startUpstream()
		attempts := 0
		u.setAnswers(func(string) []string {
			attempts++
			if attempts < 3 {
				return []string{"ERROR FAILED broken"}
			}
			return []string{"DATAROW v", "COMPLETE sig"}
		})
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		u.setAnswers(func(string) []string { return []string{"ERROR FAILED broken"} })
		Expect(c.query("READ a")).To(HavePrefix("ERROR FAILED"))
		Expect(u.statements()).To(HaveLen(6))
	})

	It("that writes is not retried if the upstream fails to execute it", func() {
		u := startUpstream()
		u.setAnswers(func(string) []string { return []string{"ERROR FAILED broken"} })
		Expect(newFixture(catalog.Route{}, u).dial().query("WRITE a 1")).To(HavePrefix("ERROR FAILED"))
		Expect(u.statements()).To(HaveLen(1))
	})

	It("that cannot be served is refused at once with the time after which to retry", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		sealed := *f.snapshot
		sealed.View.Groups = []failover.GroupView{{ID: group, Generation: 1, Primary: "u0", Sealed: true}}
		f.dispatch.Publish(&sealed)
		Expect(f.dial().query("WRITE a 1")).To(MatchRegexp(`^ERROR BUSY not run: no primary, retry after \d+ ms\|READY I -$`))
	})
})

var _ = Describe("a transaction", func() {
	It("runs on one connection, from its first statement to its commit", func() {
		u := startUpstream()
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("BEGIN")).To(Equal("COMPLETE -|READY T -"))
		Expect(u.statements()).To(BeEmpty())
		Expect(c.query("READ a")).To(HaveSuffix("READY T -"))
		Expect(c.query("COMMIT")).To(HaveSuffix("READY I -"))
		Expect(u.statements()).To(Equal([]string{"- BEGIN", "id1 READ a", "id1 COMMIT"}))
	})

	It("that loses its connection before the commit is aborted", func() {
		u := startUpstream()
		u.setAnswers(func(text string) []string {
			if text == "WRITE a 1" {
				return nil
			}
			return []string{"COMPLETE -"}
		})
		c := newFixture(catalog.Route{}, u).dial()
		c.query("BEGIN")
		Expect(c.query("WRITE a 1")).To(MatchRegexp(`^ERROR ABORTED .*\|READY E -$`))
		Expect(c.query("READ a")).To(HavePrefix("ERROR MALFORMED"))
		Expect(c.query("ROLLBACK")).To(Equal("COMPLETE -|READY I -"))
	})

	It("that wrote and got no answer to its commit has an unknown outcome", func() {
		u := startUpstream()
		u.setAnswers(func(text string) []string {
			if text == "COMMIT" {
				return nil
			}
			return []string{"COMPLETE sig"}
		})
		c := newFixture(catalog.Route{}, u).dial()
		c.query("BEGIN")
		c.query("WRITE a 1")
		Expect(c.query("COMMIT")).To(HavePrefix("ERROR INDOUBT"))
	})

	It("is rolled back if the caller disconnects", func() {
		u := startUpstream()
		c := newFixture(catalog.Route{}, u).dial()
		c.query("BEGIN")
		c.query("WRITE a 1")
		_ = c.conn.Close()
		Eventually(u.statements).Should(ContainElement("- ROLLBACK"))
	})
})

var _ = Describe("session values and prepared statements", func() {
	It("are set on the connection for their session only", func() {
		u := startUpstream()
		f := newFixture(catalog.Route{}, u)
		first := f.dial()
		first.query("SET mode x")
		first.query("PREPARE s READ q1")
		first.query("EXECUTE s a")
		second := f.dial()
		second.query("PREPARE s READ q2")
		second.query("EXECUTE s a")
		texts := u.statements()
		Expect(texts[0]).To(Equal("- SET mode x"))
		Expect(texts).To(ContainElement("- RESET"))
		var names []string
		for _, text := range texts {
			if strings.Contains(text, "EXECUTE") {
				names = append(names, text)
			}
		}
		Expect(names).To(HaveLen(2))
		Expect(names[0]).NotTo(Equal(names[1]))
	})

	It("are answered without an upstream", func() {
		u := startUpstream()
		c := newFixture(catalog.Route{}, u).dial()
		Expect(c.query("SET a b")).To(Equal("COMPLETE -|READY I -"))
		Expect(c.query("DEALLOCATE s")).To(HavePrefix("ERROR UNPREPARED"))
		Expect(u.statements()).To(BeEmpty())
	})
})
