package transfer_test

import (
	"bytes"
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/transfer"
)

func TestTransfer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transfer")
}

// randomData returns bytes that do not compress.
func randomData(size int) []byte {
	random := rand.NewChaCha8([32]byte{1})
	data := make([]byte, size)
	_, _ = random.Read(data)
	return data
}

func encode(data []byte) *transfer.Blob {
	blob, err := transfer.Encode(data)
	Expect(err).NotTo(HaveOccurred())
	return blob
}

func assemble(offer transfer.Offer) *transfer.Assembly {
	assembly, err := transfer.NewAssembly(offer)
	Expect(err).NotTo(HaveOccurred())
	return assembly
}

var _ = Describe("a transfer", func() {
	DescribeTable("delivers the data, also if its sender changes after each part",
		func(size int) {
			data := randomData(size)
			blobs := []*transfer.Blob{encode(data), encode(data)}
			assembly := assemble(blobs[0].Offer())
			for i := 0; !assembly.IsComplete(); i++ {
				Expect(assembly.Add(blobs[i%2].Part(assembly.Offset()))).To(Succeed())
			}
			Expect(assembly.Decode()).To(Equal(data))
		},
		Entry("one byte", 1),
		Entry("one part", transfer.PartBytes/2),
		Entry("many parts", 10*transfer.PartBytes),
	)

	It("sends repetitive data in few bytes", func() {
		data := bytes.Repeat([]byte(`{"Consistency":2,"Timeout":800000000}`), 1000)
		Expect(encode(data).Offer().Size).To(BeNumerically("<", len(data)/10))
	})

	It("has no part outside the data", func() {
		blob := encode([]byte("data"))
		Expect(blob.Part(-1)).To(BeEmpty())
		Expect(blob.Part(blob.Offer().Size)).To(BeEmpty())
	})

	DescribeTable("does not begin for a size that is not acceptable",
		func(size int) {
			_, err := transfer.NewAssembly(transfer.Offer{Size: size})
			Expect(err).To(MatchError(transfer.ErrBadOffer))
		},
		Entry("none", 0), Entry("negative", -1), Entry("too large", 1<<30),
	)

	It("refuses a part that is empty or too long, and goes on", func() {
		blob := encode([]byte("data"))
		assembly := assemble(blob.Offer())
		Expect(assembly.Add(nil)).To(MatchError(transfer.ErrBadPart))
		Expect(assembly.Add(make([]byte, blob.Offer().Size+1))).To(MatchError(transfer.ErrBadPart))
		Expect(assembly.Add(blob.Part(0))).To(Succeed())
		Expect(assembly.Decode()).To(Equal([]byte("data")))
	})

	It("does not deliver other data than was offered", func() {
		blob := encode([]byte("data"))
		assembly := assemble(blob.Offer())
		Expect(assembly.Add(make([]byte, blob.Offer().Size))).To(Succeed())
		_, err := assembly.Decode()
		Expect(err).To(MatchError(transfer.ErrCorrupt))
	})

	It("does not deliver data that was not compressed", func() {
		assembly := assemble(transfer.Offer{Digest: sha256.Sum256([]byte("plain")), Size: len("plain")})
		Expect(assembly.Add([]byte("plain"))).To(Succeed())
		_, err := assembly.Decode()
		Expect(err).To(MatchError(transfer.ErrCorrupt))
	})

	It("does not deliver more than the limit, however few bytes it was sent in", func() {
		blob := encode(make([]byte, 65<<20))
		assembly := assemble(blob.Offer())
		for !assembly.IsComplete() {
			Expect(assembly.Add(blob.Part(assembly.Offset()))).To(Succeed())
		}
		_, err := assembly.Decode()
		Expect(err).To(MatchError(transfer.ErrTooLarge))
	})
})
