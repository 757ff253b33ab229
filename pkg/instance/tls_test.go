package instance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/settings"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/mesh"
)

func TestInstance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "instance")
}

// authority is a certificate authority that writes certificates and keys to a
// directory.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// newAuthority creates an authority with a self-signed certificate.
func newAuthority() *authority {
	a := &authority{dir: GinkgoT().TempDir()}
	a.certificate, a.key = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "mesh"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}, newKey()
	a.write("ca.pem", "CERTIFICATE", a.sign(a.certificate, &a.key.PublicKey))
	return a
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func (a *authority) sign(template *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key, a.key)
	Expect(err).NotTo(HaveOccurred())
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	return path
}

// settings returns the mesh settings of an instance with a certificate.
func (a *authority) settings() settings.Mesh {
	key := newKey()
	der, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	return settings.Mesh{
		TLSAuthority:   filepath.Join(a.dir, "ca.pem"),
		TLSCertificate: a.write("leaf.pem", "CERTIFICATE", a.sign(leaf, &key.PublicKey)),
		TLSKey:         a.write("leaf.key", "EC PRIVATE KEY", der),
	}
}

// ignoringHandler ignores everything that peers send.
type ignoringHandler struct{}

func (ignoringHandler) HandleMessage(model.InstanceID, *meshpb.Envelope, func(*meshpb.Envelope)) {}

func (ignoringHandler) HandleForward(context.Context, model.InstanceID, *meshpb.ForwardOpen, net.Conn) {
}

// newNode starts a mesh node with the given settings and returns it as a member,
// too.
func newNode(id model.InstanceID, configured settings.Mesh) (*mesh.Node, model.Member) {
	server, client, err := meshTLS(configured)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := model.Member{ID: id, Address: listener.Addr().String()}
	node := mesh.New(mesh.Config{
		Self: self, Region: "r", Listener: listener, Handler: ignoringHandler{},
		Logger: slog.New(slog.DiscardHandler), ServerTLS: server, ClientTLS: client,
	})
	DeferCleanup(node.Close)
	return node, self
}

var _ = Describe("mutual TLS of the mesh", func() {
	var trusted *authority

	BeforeEach(func() { trusted = newAuthority() })

	It("connects instances with certificates of the same authority", func() {
		left, _ := newNode("left", trusted.settings())
		_, right := newNode("right", trusted.settings())
		left.SetPeers([]model.Member{right})
		Eventually(func() bool { return left.Connected("right") }).Should(BeTrue())
	})

	DescribeTable("refuses",
		func(other func() settings.Mesh) {
			refused := telemetry.EventsLogged.With("204")
			before := refused.Get()
			left, _ := newNode("left", other())
			_, right := newNode("right", trusted.settings())
			left.SetPeers([]model.Member{right})
			Eventually(refused.Get).Should(BeNumerically(">", before))
			Expect(left.Connected("right")).To(BeFalse())
		},
		Entry("an instance without a certificate", func() settings.Mesh { return settings.Mesh{} }),
		Entry("an instance of another authority", func() settings.Mesh { return newAuthority().settings() }),
	)
})
