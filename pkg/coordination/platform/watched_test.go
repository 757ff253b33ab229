package platform

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeTable is a Table whose calls return err; Get advances the time now by took.
type fakeTable struct {
	Table
	err  error
	took time.Duration
	now  time.Time
}

func (s *fakeTable) Get(context.Context, string) (*Row, error) {
	s.now = s.now.Add(s.took)
	return nil, s.err
}

func (s *fakeTable) Commit(context.Context, string, []Write) (CommitResult, error) {
	return CommitResult{}, s.err
}

var _ = Describe("WatchedTable", func() {
	var (
		out     bytes.Buffer
		table   *fakeTable
		watched *WatchedTable
	)
	ctx := context.Background()

	BeforeEach(func() {
		out.Reset()
		table = &fakeTable{now: time.Unix(1_700_000_000, 0)}
		watched = NewWatchedTable(table, slog.New(slog.NewTextHandler(&out, nil)), time.Second)
		watched.now = func() time.Time { return table.now }
	})

	get := func(times int, err error) {
		table.err = err
		for range times {
			_, _ = watched.Get(ctx, "head/r")
		}
	}
	logged := func() []string {
		var all []string
		for line := range strings.Lines(out.String()) {
			_, rest, _ := strings.Cut(line, "event=")
			all = append(all, rest[:3])
		}
		return all
	}

	It("logs once that the platform is unreachable, and once that it is reachable again", func() {
		get(2, errors.New("down"))
		get(1, nil)
		Expect(logged()).To(BeEmpty())
		get(5, errors.New("down"))
		get(2, nil)
		Expect(logged()).To(Equal([]string{"510", "511"}))
	})

	It("does not count a call that its caller cancelled as a failure", func() {
		get(5, context.Canceled)
		Expect(logged()).To(BeEmpty())
	})

	It("logs slow calls, malformed answers and commits with an unknown outcome", func() {
		table.took = 600 * time.Millisecond
		get(3, nil)
		get(1, ErrBadAnswer)
		table.err = errors.New("lost")
		_, err := watched.Commit(ctx, "op1", nil)
		Expect(err).To(HaveOccurred())
		Expect(logged()).To(Equal([]string{"512", "515", "513"}))
	})
})

var _ = DescribeTable("a head row is decoded as it was encoded",
	func(groups, members int, isCompressed bool) {
		head := headOf(groups, members)
		value, err := EncodeHead(head)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.HasPrefix(value, gzipMagic)).To(Equal(isCompressed))
		head.Version = 7
		Expect(DecodeHead(&Row{Version: 7, Value: value})).To(Equal(head))
		_, err = DecodeHead(&Row{Value: value[:len(value)/2]})
		Expect(err).To(HaveOccurred())
	},
	Entry("small", 3, 4, false),
	Entry("large", 139, 167, true),
)
