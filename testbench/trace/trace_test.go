package trace_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

const (
	header = `{"trace":1,"title":"t","profile":"tregwynt","instances":4,"scale":1}` + "\n"
	write  = `{"at_ms":5,"do":"write","caller":"c","session":"s","group":"g","key":"k"}` + "\n"
	expect = `{"expect":{"violations":0,"min_answered":0.9}}` + "\n"
)

var _ = Describe("Parse", func() {
	It("reads what Write writes", func() {
		read, err := trace.Parse(strings.NewReader(header + "# comment\n\n" + write + expect))
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Events).To(HaveLen(1))
		var again bytes.Buffer
		Expect(trace.Write(&again, read)).To(Succeed())
		Expect(again.String()).To(Equal(header + write + expect))
	})

	DescribeTable("refuses a bad line by its number",
		func(text, reason string) {
			_, err := trace.Parse(strings.NewReader(text))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("no header", write, "line 1: the first line must be the header"),
		Entry("unknown field", header+`{"at_ms":1,"do":"write","kee":"k"}`, "line 2"),
		Entry("unknown do", header+`{"at_ms":1,"do":"dance"}`, `line 2: unknown do "dance"`),
		Entry("missing field", header+`{"at_ms":1,"do":"kill"}`, "line 2: kill needs"),
		Entry("going back", header+write+strings.Replace(write, "5", "4", 1), "line 3: events must be ordered"),
		Entry("no end", header+write, "needs a header and an expect line"),
		Entry("after the end", header+expect+write, "line 3: nothing may follow"),
	)
})

// FuzzParse checks that any input is refused or read, and that what is read
// can be written and read again to the same trace.
func FuzzParse(f *testing.F) {
	f.Add([]byte(header + write + expect))
	f.Add([]byte(header + `{"at_ms":1,"do":"platform","platform":{"down":true}}` + "\n" + expect))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := trace.Parse(bytes.NewReader(data))
		if err != nil {
			return
		}
		var first, second bytes.Buffer
		if err = trace.Write(&first, read); err != nil {
			t.Fatal(err)
		}
		again, err := trace.Parse(bytes.NewReader(first.Bytes()))
		if err != nil {
			t.Fatalf("written trace is refused: %v", err)
		}
		if err = trace.Write(&second, again); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first.Bytes(), second.Bytes()) {
			t.Fatal("a trace changes when it is written and read")
		}
	})
}
