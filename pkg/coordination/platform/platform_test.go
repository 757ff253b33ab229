package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/coordination/platform/platformtest"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

const requestTimeout = 10 * time.Second

// handler serves a fake platform by the protocol of docs/PLATFORM.md.
func handler(fake *platformfake.Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/get", func(w http.ResponseWriter, r *http.Request) {
		var request struct{ Key string }
		decode(r, &request)
		row, err := fake.Get(r.Context(), request.Key)
		answer(w, map[string]any{"row": row}, err)
	})
	mux.HandleFunc("POST /v1/table/list", func(w http.ResponseWriter, r *http.Request) {
		var request struct{ Prefix string }
		decode(r, &request)
		rows, err := fake.List(r.Context(), request.Prefix)
		answer(w, map[string]any{"rows": rows}, err)
	})
	mux.HandleFunc("POST /v1/table/commit", func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			OpID   string `json:"op_id"`
			Writes []platform.Write
		}
		decode(r, &request)
		result, err := fake.Commit(r.Context(), request.OpID, request.Writes)
		answer(w, result, err)
	})
	mux.HandleFunc("PUT /v1/object/{digest}", func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = fake.Objects().Put(r.Context(), data)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/object/{digest}", func(w http.ResponseWriter, r *http.Request) {
		data, err := fake.Objects().Get(r.Context(), r.PathValue("digest"))
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		instances, err := fake.Instances(r.Context())
		answer(w, map[string]any{"instances": instances}, err)
	})
	return mux
}

// decode reads the JSON body of a request.
func decode(r *http.Request, target any) {
	defer GinkgoRecover()
	Expect(json.NewDecoder(r.Body).Decode(target)).To(Succeed())
}

// answer writes value as JSON, or err as status 503.
func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(value)
}

// clientOf returns a client of an HTTP server with the handler.
func clientOf(h http.Handler) *platform.Client {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	client := platform.NewClient(platform.Options{
		Address: strings.TrimPrefix(server.URL, "http://"),
		Timeout: requestTimeout,
	})
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("platformfake.Platform", func() {
	platformtest.Conformance(func() platformtest.Services {
		fake := platformfake.New()
		return platformtest.Services{Table: fake, Objects: fake.Objects(), Instances: fake}
	})
})

var _ = Describe("Client", func() {
	platformtest.Conformance(func() platformtest.Services {
		client := clientOf(handler(platformfake.New()))
		return platformtest.Services{Table: platform.NewCountedTable(client), Objects: client.Objects(), Instances: client}
	})

	It("retries reads, but not commits", func() {
		calls := map[string]int{}
		client := clientOf(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls[r.URL.Path]++
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := client.Get(context.Background(), "head/r")
		Expect(err).To(HaveOccurred())
		_, err = client.Commit(context.Background(), "op1", []platform.Write{{Key: "head/r"}})
		Expect(err).To(HaveOccurred())
		Expect(calls["/v1/table/get"]).To(BeNumerically(">", 1))
		Expect(calls["/v1/table/commit"]).To(Equal(1))
	})

	It("returns an error for an object that does not match its digest", func() {
		client := clientOf(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("other"))
		}))
		_, err := client.Objects().Get(context.Background(), platform.Digest([]byte("content")))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("ResolveCommit", func() {
	var fake *platformfake.Platform
	ctx := context.Background()
	writes := []platform.Write{{Key: "head/r", Value: []byte("x")}, {Key: "revision/r/1"}}

	BeforeEach(func() { fake = platformfake.New() })

	// commitAndResolve sends a commit that must fail, and resolves it.
	commitAndResolve := func() platform.CommitOutcome {
		_, err := fake.Commit(ctx, "mine", writes)
		Expect(err).To(HaveOccurred())
		outcome, _, err := platform.ResolveCommit(ctx, fake, "mine", writes)
		Expect(err).NotTo(HaveOccurred())
		return outcome
	}
	overwrite := func(key string) {
		result, err := fake.Commit(ctx, "other", []platform.Write{{Key: key, IfVersion: fake.Version(key)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Applied).To(BeTrue())
	}

	It("returns CommitApplied if the answer was lost", func() {
		fake.LoseNext(platformfake.LoseAnswer)
		Expect(commitAndResolve()).To(Equal(platform.CommitApplied))
	})

	It("returns CommitPending if the request was lost", func() {
		fake.LoseNext(platformfake.LoseRequest)
		Expect(commitAndResolve()).To(Equal(platform.CommitPending))
	})

	It("returns CommitApplied after one of the rows was overwritten", func() {
		_, err := fake.Commit(ctx, "mine", writes)
		Expect(err).NotTo(HaveOccurred())
		overwrite("head/r")
		outcome, _, err := platform.ResolveCommit(ctx, fake, "mine", writes)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(platform.CommitApplied))
	})

	It("returns CommitConflict if another commit had changed one of the rows", func() {
		overwrite("head/r")
		fake.LoseNext(platformfake.LoseAnswer)
		Expect(commitAndResolve()).To(Equal(platform.CommitConflict))
	})

	It("returns CommitIndeterminate if all rows were overwritten", func() {
		overwrite("head/r")
		overwrite("revision/r/1")
		fake.LoseNext(platformfake.LoseRequest)
		Expect(commitAndResolve()).To(Equal(platform.CommitIndeterminate))
	})
})
