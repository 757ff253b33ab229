package platformd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/platformd"
)

func TestPlatformd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformd")
}

const forHours = 10_000_000

type answer struct {
	Applied   bool
	Row       *platformd.Row
	Rows      []*platformd.Row
	Instances []platformd.Instance
}

// post sends body as it stands in docs/PLATFORM.md.
func post(ctx context.Context, url, path, body string) (answer, int, error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, 0, err
	}
	defer response.Body.Close()
	var got answer
	if response.StatusCode == http.StatusOK {
		Expect(json.NewDecoder(response.Body).Decode(&got)).To(Succeed())
	}
	return got, response.StatusCode, nil
}

var _ = Describe("the stand-in platform", func() {
	var control platformd.Client

	BeforeEach(func() {
		server, err := platformd.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		control = platformd.Client{URL: server.URL()}
	})

	commit := func(ctx context.Context, body string) answer {
		GinkgoHelper()
		got, status, err := post(ctx, control.URL, "/v1/table/commit", body)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		return got
	}

	It("applies all writes of a commit or none", func(ctx context.Context) {
		first := commit(ctx, `{"op_id":"1","writes":[{"key":"a","if_version":0,"value":"eA=="}]}`)
		Expect(first.Applied).To(BeTrue())
		Expect(first.Rows[0].OpID).To(Equal("1"))
		lost := commit(ctx, `{"op_id":"2","writes":[{"key":"b","if_version":0},{"key":"a","if_version":0}]}`)
		Expect(lost.Applied).To(BeFalse())
		Expect(lost.Rows).To(Equal([]*platformd.Row{nil, first.Rows[0]}))
	})

	It("never gives an old version to a row that is written again", func(ctx context.Context) {
		first := commit(ctx, `{"op_id":"1","writes":[{"key":"a","if_version":0}]}`).Rows[0].Version
		Expect(first).To(Equal(int64(1)))
		gone := commit(ctx, `{"op_id":"2","writes":[{"key":"a","if_version":1,"delete":true}]}`)
		Expect(gone.Rows).To(Equal([]*platformd.Row{nil}))
		again := commit(ctx, `{"op_id":"3","writes":[{"key":"a","if_version":0}]}`).Rows[0].Version
		Expect(again).To(BeNumerically(">", first))
	})

	It("loses the answer of a commit that took effect", func(ctx context.Context) {
		Expect(control.SetFaults(ctx, platformd.Faults{LoseCommits: 1, LosePrefix: "head"})).To(Succeed())
		commit(ctx, `{"op_id":"1","writes":[{"key":"other","if_version":0}]}`)
		_, _, err := post(ctx, control.URL, "/v1/table/commit", `{"op_id":"2","writes":[{"key":"head","if_version":0}]}`)
		Expect(err).To(HaveOccurred())
		read, _, err := post(ctx, control.URL, "/v1/table/get", `{"key":"head"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Row.OpID).To(Equal("2"))
		counts, err := control.Counts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(counts).To(Equal(platformd.Counts{
			Reads: map[string]int{"head": 1}, Writes: map[string]int{"other": 1, "head": 1}, LostAnswers: 1,
		}))
	})

	It("refuses everything while it is down", func(ctx context.Context) {
		Expect(control.SetFaults(ctx, platformd.Faults{Down: true})).To(Succeed())
		_, status, err := post(ctx, control.URL, "/v1/table/get", `{"key":"head"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
	})

	It("shows a change of the instance list after the lag", func(ctx context.Context) {
		change := platformd.InstanceChange{Instance: platformd.Instance{ID: "i1", State: "live"}}
		list := func() []platformd.Instance {
			response, err := http.Get(control.URL + "/v1/instances")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			var got answer
			Expect(json.NewDecoder(response.Body).Decode(&got)).To(Succeed())
			return got.Instances
		}
		Expect(control.SetFaults(ctx, platformd.Faults{ListLagMS: forHours})).To(Succeed())
		Expect(control.ChangeInstance(ctx, change)).To(Succeed())
		Expect(list()).To(BeEmpty())
		Expect(control.SetFaults(ctx, platformd.Faults{})).To(Succeed())
		Expect(list()).To(ConsistOf(change.Instance))
	})
})
