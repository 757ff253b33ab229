package admin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// source is a Source with a fixed status that records the last switch.
type source struct {
	status admin.Status
	// refuse, if set, is the result of Switch.
	refuse   error
	switched admin.SwitchRequest
}

func (s *source) Status() admin.Status { return s.status }

func (s *source) Switch(_ context.Context, group model.GroupID, target model.UpstreamID) error {
	s.switched = admin.SwitchRequest{Group: group, Target: target}
	return s.refuse
}

var _ = Describe("the admin handler", func() {
	var (
		from   *source
		server *httptest.Server
		client *admin.Client
	)
	ctx := context.Background()

	BeforeEach(func() {
		from = &source{status: admin.Status{Instance: "i1", State: admin.StateReady, Revision: 7}}
		server = httptest.NewServer(admin.NewHandler(from))
		DeferCleanup(server.Close)
		client = admin.NewClient(strings.TrimPrefix(server.URL, "http://"))
	})

	get := func(path string) (int, string) {
		response, err := http.Get(server.URL + path)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(body)
	}

	It("serves metrics and the status", func() {
		code, body := get(admin.PathMetrics)
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("process_"))
		Expect(client.Status(ctx)).To(Equal(from.status))
	})

	It("is live but not ready while the instance stops", func() {
		from.status.State = admin.StateStopping
		code, _ := get(admin.PathReady)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		code, _ = get(admin.PathLive)
		Expect(code).To(Equal(http.StatusOK))
	})

	It("passes a switch to the source, and returns the reason of a refusal", func() {
		Expect(client.Switch(ctx, "plugs", "b")).To(Succeed())
		Expect(from.switched).To(Equal(admin.SwitchRequest{Group: "plugs", Target: "b"}))
		from.refuse = errors.New("b is leaving")
		Expect(client.Switch(ctx, "plugs", "b")).To(MatchError("b is leaving"))
	})

	It("refuses a switch sent by a form of a web page", func() {
		response, err := http.Post(server.URL+admin.PathGroupSwitch, "text/plain", strings.NewReader(`{"group":"plugs","target":"b"}`))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnsupportedMediaType))
		Expect(from.switched).To(BeZero())
	})
})
