// Package platformtest provides the conformance tests of the interfaces of package
// platform.
package platformtest

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform"
)

// Services holds the services of one empty platform.
type Services struct {
	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
}

// Conformance declares the specs that every implementation must pass. start is
// called before each and returns an empty platform.
func Conformance(start func() Services) {
	var services Services
	ctx := context.Background()
	ginkgo.BeforeEach(func() { services = start() })
	commit := func(opID string, writes ...platform.Write) platform.CommitResult {
		result, err := services.Table.Commit(ctx, opID, writes)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return result
	}

	ginkgo.It("returns nil for a row that does not exist", func() {
		row, err := services.Table.Get(ctx, "a/1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(row).To(gomega.BeNil())
	})

	ginkgo.It("writes a row that has its expected version, and returns it as written", func() {
		first := commit("op1", platform.Write{Key: "a/1", Value: []byte("x")})
		gomega.Expect(first.Applied).To(gomega.BeTrue())
		gomega.Expect(first.Rows[0].OpID).To(gomega.Equal("op1"))
		second := commit("op2", platform.Write{Key: "a/1", IfVersion: first.Rows[0].Version, Value: []byte("y")})
		gomega.Expect(second.Applied).To(gomega.BeTrue())
		gomega.Expect(second.Rows[0].Version).To(gomega.BeNumerically(">", first.Rows[0].Version))
		row, err := services.Table.Get(ctx, "a/1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(row).To(gomega.Equal(second.Rows[0]))
	})

	ginkgo.It("applies no write of a commit if one row does not have its expected version", func() {
		commit("op1", platform.Write{Key: "a/1", Value: []byte("x")})
		result := commit("op2", platform.Write{Key: "a/2", Value: []byte("y")}, platform.Write{Key: "a/1", Value: []byte("y")})
		gomega.Expect(result.Applied).To(gomega.BeFalse())
		gomega.Expect(result.Rows[0]).To(gomega.BeNil())
		gomega.Expect(result.Rows[1].OpID).To(gomega.Equal("op1"))
	})

	ginkgo.It("applies a commit that is sent twice only once", func() {
		write := platform.Write{Key: "a/1", Value: []byte("x")}
		commit("op1", write)
		again := commit("op1", write)
		gomega.Expect(again.Applied).To(gomega.BeFalse())
		gomega.Expect(again.Rows[0].OpID).To(gomega.Equal("op1"))
	})

	ginkgo.It("deletes a row", func() {
		written := commit("op1", platform.Write{Key: "a/1", Value: []byte("x")})
		deleted := commit("op2", platform.Write{Key: "a/1", IfVersion: written.Rows[0].Version, Delete: true})
		gomega.Expect(deleted.Applied).To(gomega.BeTrue())
		gomega.Expect(deleted.Rows[0]).To(gomega.BeNil())
	})

	ginkgo.It("lists rows by prefix, ordered by key", func() {
		commit("op1", platform.Write{Key: "b/2"}, platform.Write{Key: "b/1"}, platform.Write{Key: "c/1"})
		rows, err := services.Table.List(ctx, "b/")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(rows).To(gomega.HaveLen(2))
		gomega.Expect(rows[0].Key).To(gomega.Equal("b/1"))
	})

	ginkgo.It("stores and returns objects by digest", func() {
		digest, err := services.Objects.Put(ctx, []byte("content"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(digest).To(gomega.Equal(platform.Digest([]byte("content"))))
		data, err := services.Objects.Get(ctx, digest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(data)).To(gomega.Equal("content"))
		_, err = services.Objects.Get(ctx, platform.Digest([]byte("other")))
		gomega.Expect(err).To(gomega.MatchError(platform.ErrNoObject))
	})

	ginkgo.It("lists instances", func() {
		_, err := services.Instances.Instances(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
}
