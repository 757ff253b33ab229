package traces_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/trace"
	"gypsumdock/testbench/traces"
)

var update = flag.Bool("update", false, "write the traces anew")

func TestTraces(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "traces")
}

var _ = Describe("the recorded traces", func() {
	for _, name := range traces.Names() {
		It("has "+name+" as its seed makes it", func() {
			made, known := traces.Generate(name)
			Expect(known).To(BeTrue())
			var text bytes.Buffer
			Expect(trace.Write(&text, made)).To(Succeed())
			file := name + ".jsonl"
			if *update {
				Expect(os.WriteFile(file, text.Bytes(), 0o644)).To(Succeed())
			}
			stored, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(stored)).To(Equal(text.String()))
			_, err = trace.Parse(bytes.NewReader(stored))
			Expect(err).NotTo(HaveOccurred())
		})
	}
})
