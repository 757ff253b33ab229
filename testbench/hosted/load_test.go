package hosted_test

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/hosted"
)

// retryTime is the text of a refusal over the rate limit.
var retryTime = regexp.MustCompile(`^not run: over the rate limit, retry after [1-9][0-9]* ms$`)

// answered is an answer of the load.
type answered struct {
	reply hosted.Reply
	at    time.Time
}

// load sends operations of accounts at fixed rates through all instances.
type load struct {
	system *hosted.System
	stop   context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	answers map[string][]answered
}

func startLoad(system *hosted.System) (*load, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{system: system, stop: stop, answers: map[string][]answered{}}
	DeferCleanup(l.end)
	return l, ctx
}

// end ends the load and waits for its answers.
func (l *load) end() {
	l.stop()
	l.tasks.Wait()
}

// send starts callers of an account at each instance, which together send at a
// rate. An interval that has passed while a caller waited is not made up for.
func (l *load) send(ctx context.Context, account hosted.Account, perSecond float64, callers int) {
	total := callers * len(l.system.Instances)
	interval := time.Duration(float64(time.Second) * float64(total) / perSecond)
	for i := range total {
		instance := l.system.Instances[i%len(l.system.Instances)]
		l.tasks.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(total))
			l.call(ctx, instance, account, i, interval)
		})
	}
}

// call runs one caller, which opens a new session when one ends.
func (l *load) call(ctx context.Context, instance *hosted.Instance, account hosted.Account, number int, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var client *hosted.Client
	for sent := 0; ; sent++ {
		select {
		case <-ctx.Done():
			if client != nil {
				client.Close()
			}
			return
		case <-ticker.C:
		}
		if client == nil {
			opened, err := hosted.DialKey(instance.Callers(), hosted.DatabaseLatest, account.Keys[0],
				fmt.Sprintf("%s/%d.%d", account.Name, number, sent))
			if err != nil {
				continue
			}
			client = opened
		}
		if !l.operate(client, account.Name, sent%4 == 0) {
			client.Close()
			client = nil
		}
	}
}

// operate runs a read or a transaction of two statements, and reports whether the
// session goes on.
func (l *load) operate(client *hosted.Client, account string, transaction bool) bool {
	if !transaction {
		reply, err := client.Do("READ " + account)
		l.note(account, reply, err)
		return err == nil
	}
	reply, err := client.Do("BEGIN")
	if err == nil && reply.Code == "" {
		reply, err = client.Do("READ " + account)
	}
	if err == nil && reply.State == "T" {
		reply, err = client.Do("COMMIT")
	}
	l.note(account, reply, err)
	return err == nil && reply.State == "I"
}

func (l *load) note(account string, reply hosted.Reply, err error) {
	if err != nil {
		reply.Code = "no answer"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[account] = append(l.answers[account], answered{reply: reply, at: time.Now()})
}

// between returns the answers to an account in a span of time.
func (l *load) between(account string, from, to time.Time) []hosted.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []hosted.Reply
	for _, a := range l.answers[account] {
		if !a.at.Before(from) && a.at.Before(to) {
			found = append(found, a.reply)
		}
	}
	return found
}

// served returns the number of successes among answers.
func served(answers []hosted.Reply) (count int) {
	for _, reply := range answers {
		if reply.Code == "" {
			count++
		}
	}
	return count
}

// awaitServed waits until the last answers to each account were successes, which
// shows that the instances have agreed on the shares of its rate.
func (l *load) awaitServed(accounts ...hosted.Account) {
	const last = 20
	for _, account := range accounts {
		begun := time.Now()
		Eventually(func() int {
			answers := l.between(account.Name, begun, time.Now())
			return served(answers[max(0, len(answers)-last):])
		}, patience, 50*time.Millisecond).Should(Equal(last), account.Name)
	}
}

// expectWithin expects that no window holds more operations of the account than its
// limit allows.
func expectWithin(system *hosted.System, account hosted.Account, from, to time.Time) {
	bounds := hosted.DefaultRateBounds
	most := hosted.MostInWindow(system.Group.Ran(), account.Name, bounds.Window, from, to)
	GinkgoWriter.Printf("%s: at most %d operations in a window, bound %.1f\n", account.Name, most, bounds.Most(account))
	Expect(float64(most)).To(BeNumerically("<=", bounds.Most(account)), account.Name)
}
