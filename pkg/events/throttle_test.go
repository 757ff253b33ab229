package events

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Throttle", func() {
	It("logs once per interval and counts every occurrence", func() {
		var out bytes.Buffer
		logger := slog.New(slog.NewTextHandler(&out, nil))
		now := time.Unix(1_700_000_000, 0)
		throttle := NewThrottle(Overloaded, time.Second)
		throttle.now = func() time.Time { return now }
		before := Overloaded.logged.Get()
		for range 5 {
			throttle.Log(context.Background(), logger)
		}
		now = now.Add(time.Second)
		throttle.Log(context.Background(), logger)
		Expect(Overloaded.logged.Get() - before).To(Equal(uint64(6)))
		Expect(strings.Count(out.String(), "\n")).To(Equal(2))
		Expect(out.String()).To(ContainSubstring("suppressed=4"))
	})
})
