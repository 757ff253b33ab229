package events_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/events"
)

// update makes the test rewrite the page from the catalogue: go test ./pkg/events -update.
var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const page = "../../docs/EVENTS.md"

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

const pageHead = `# Events

Each line of the log that stands for an event carries its number as ` + "`event`" + ` and its name as the message. A number
never changes its meaning. Events of level WARN and ERROR are worth an alarm; ` + "`gypsumdock_events_total`" + ` counts all.
This page is the catalogue in ` + "`pkg/events`" + `, held equal to it by a test; ` + "`go test ./pkg/events -update`" + ` rewrites it.

| number | level | name | meaning | what to do |
| --- | --- | --- | --- | --- |
`

// printed returns the catalogue as the contents of the page.
func printed() string {
	var out strings.Builder
	out.WriteString(pageHead)
	for _, event := range events.All() {
		fmt.Fprintf(&out, "| %d | %s | %s | %s | %s |\n", event.Number, event.Level, event.Name, event.Meaning, event.Action)
	}
	return out.String()
}

var _ = Describe("the catalogue", func() {
	It("equals docs/EVENTS.md", func() {
		if *update {
			Expect(os.WriteFile(page, []byte(printed()), 0o644)).To(Succeed())
		}
		text, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(printed()))
	})

	It("uses numbers within the ranges and has an action for each error", func() {
		for _, event := range events.All() {
			hundreds := int(event.Number) / 100
			Expect(hundreds).To(BeElementOf(1, 2, 3, 4, 5, 6, 9), event.Name)
			if event.Level >= slog.LevelError {
				Expect(event.Action).NotTo(BeEmpty(), event.Name)
			}
		}
	})
})

var _ = Describe("Log", func() {
	It("writes the number and omits events of disabled levels", func() {
		var out bytes.Buffer
		logger := slog.New(slog.NewTextHandler(&out, nil))
		events.Log(context.Background(), logger, events.CallerConnected)
		events.Log(context.Background(), logger, events.PrimaryLost, slog.String("group", "plugs"))
		Expect(out.String()).To(ContainSubstring(`level=ERROR msg="primary lost" event=301 group=plugs`))
		Expect(out.String()).NotTo(ContainSubstring("event=101"))
	})
})
