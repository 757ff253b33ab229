// Package operations_test drives running instances with gypsumctl, as an
// operator does.
package operations_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
)

func TestOperations(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operations")
}

const startWait = 30 * time.Second

// Exit codes of gypsumctl.
const (
	exitOK       = 0
	exitUsage    = 2
	exitConflict = 3
)

// operator runs gypsumctl against the first instance of a cluster.
type operator struct{ *cluster.Cluster }

func (o operator) run(ctx context.Context, args ...string) (string, int) {
	global := []string{
		"--platform", o.PlatformAddress(), "--region", o.Profile().Region,
		"--instance", o.Instances[0].Admin, "--wait", startWait.String(),
	}
	output, code, err := o.Ctl(ctx, append(global, args...)...)
	Expect(err).NotTo(HaveOccurred())
	return output, code
}

func (o operator) succeed(ctx context.Context, args ...string) string {
	output, code := o.run(ctx, args...)
	Expect(code).To(Equal(exitOK), output)
	return output
}

// apply applies the folder and reports the time until it is in force on every
// instance.
func (o operator) apply(ctx context.Context) string {
	started := time.Now()
	output := o.succeed(ctx, "apply", o.Folder)
	GinkgoWriter.Println("in force after", time.Since(started))
	return output
}

// write adds a file to the folder.
func (o operator) write(name, text string) {
	Expect(os.WriteFile(filepath.Join(o.Folder, name), []byte(text), 0o600)).To(Succeed())
}

func (o operator) connect(ctx context.Context) *pgx.Conn {
	caller := o.Profile().Callers[0]
	dsn := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		caller.Name, caller.Password, o.Instances[1].Callers, o.Profile().Groups[0].Database)
	conn, err := pgx.Connect(ctx, dsn)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func start(ctx context.Context) operator {
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: profile.Tregwynt(), Instances: 4, Tuning: cluster.DefaultTuning(),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Stop)
	o := operator{c}
	Eventually(func() int {
		_, code := o.run(ctx, "apply", c.Folder)
		return code
	}).WithTimeout(startWait).Should(Equal(exitOK))
	ready, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	Expect(c.WaitReady(ready)).To(Succeed())
	return o
}

// statuses is the part of gypsumctl's status that the test looks at.
type statuses struct {
	Instances []struct {
		Instance string
		Revision uint64
	}
}

var _ = Describe("an operator", Ordered, func() {
	var o operator

	BeforeAll(func(ctx SpecContext) { o = start(ctx) })

	It("sees every instance through one of them", func(ctx SpecContext) {
		Eventually(func() int {
			var seen statuses
			output := o.succeed(ctx, "--output", "json", "status")
			Expect(json.Unmarshal([]byte(output), &seen)).To(Succeed())
			return len(seen.Instances)
		}).WithTimeout(startWait).Should(Equal(len(o.Instances)))
	})

	It("changes by a new file and rolls back by removing it", func(ctx SpecContext) {
		replica := o.Profile().Groups[0].Upstreams[1].ID
		o.write("90-drain.toml", fmt.Sprintf("leaving = [%q]\n", replica))
		Expect(o.succeed(ctx, "diff", o.Folder)).To(ContainSubstring(replica + ": leaving false -> true"))
		Expect(o.apply(ctx)).To(ContainSubstring("applied revision 2"))
		Expect(os.Remove(filepath.Join(o.Folder, "90-drain.toml"))).To(Succeed())
		Expect(o.apply(ctx)).To(ContainSubstring("applied revision 3"))
		Expect(o.succeed(ctx, "rollback", "2")).To(ContainSubstring("applied revision 4"))
		Expect(o.apply(ctx)).To(ContainSubstring("applied revision 5"))
		for _, instance := range o.Instances {
			status, err := instance.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Revision).To(Equal(uint64(5)))
		}
	})

	It("changes nothing by a bad file, and only what it started from", func(ctx SpecContext) {
		o.write("95-bad.toml", "[[route]]\nname = \"r\"\ngroup = \"none\"\n")
		output, code := o.run(ctx, "apply", o.Folder)
		Expect(code).To(Equal(exitUsage))
		Expect(output).To(ContainSubstring("95-bad.toml:3: route[0].group: group \"none\" is not defined"))
		Expect(os.Remove(filepath.Join(o.Folder, "95-bad.toml"))).To(Succeed())
		o.write("90-drain.toml", fmt.Sprintf("leaving = [%q]\n", o.Profile().Groups[0].Upstreams[1].ID))
		output, code = o.run(ctx, "apply", "--base", "2", o.Folder)
		Expect(code).To(Equal(exitConflict), output)
		Expect(os.Remove(filepath.Join(o.Folder, "90-drain.toml"))).To(Succeed())
	})

	It("switches a group without losing a write", func(ctx SpecContext) {
		group := o.Profile().Groups[0]
		before, err := o.Primary(ctx, group.ID)
		Expect(err).NotTo(HaveOccurred())
		conn := o.connect(ctx)
		insert := func(key string) error {
			_, err := conn.Exec(ctx, "INSERT INTO records(key, value) VALUES ($1, 'v')", key)
			return err
		}
		Eventually(func() error { return insert("before") }).WithTimeout(startWait).Should(Succeed())
		target := group.Upstreams[2].ID
		Expect(target).NotTo(Equal(before))
		Expect(o.succeed(ctx, "group", "switch", group.ID, target)).To(ContainSubstring("primary " + target))
		Eventually(func() error { return insert("after") }).WithTimeout(startWait).Should(Succeed())
		for _, key := range []string{"before", "after"} {
			var value string
			Expect(conn.QueryRow(ctx, "SELECT value FROM records WHERE key = $1", key).Scan(&value)).To(Succeed())
		}
		Expect(o.succeed(ctx, "group", "show", group.ID)).To(ContainSubstring("generation 2"))
	})

	It("finds no secret in the logs and in the status", func(ctx SpecContext) {
		secrets := o.secrets()
		Expect(secrets).NotTo(BeEmpty())
		shown := o.succeed(ctx, "--output", "json", "status") + o.succeed(ctx, "history")
		for _, instance := range o.Instances {
			data, err := os.ReadFile(instance.LogPath)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).NotTo(BeEmpty())
			shown += string(data)
		}
		for _, secret := range secrets {
			Expect(strings.Contains(shown, secret)).To(BeFalse())
		}
	})
})

var secretKey = regexp.MustCompile(`(?m)^\s*(?:password|verifier) = "(.+)"`)

// secrets returns the passwords and verifiers of the folder, and the callers'
// passwords.
func (o operator) secrets() []string {
	var all []string
	files, err := filepath.Glob(filepath.Join(o.Folder, "*.toml"))
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for _, match := range secretKey.FindAllStringSubmatch(string(data), -1) {
			all = append(all, match[1])
		}
	}
	for _, caller := range o.Profile().Callers {
		all = append(all, caller.Password)
	}
	return all
}
