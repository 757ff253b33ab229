package pgfront_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/pgfront"
)

// newCertificate returns a self-signed certificate for 127.0.0.1.
func newCertificate() tls.Certificate {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

var _ = Describe("TLS", func() {
	var b *testbed

	BeforeEach(func() {
		certificate := newCertificate()
		b = newTestbed(1, func(c *pgfront.Config) {
			c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}}
			c.RequireTLS = true
		})
	})

	It("encrypts a session", func() {
		conn := b.connect(func(c *pgx.ConnConfig) {
			c.TLSConfig = &tls.Config{InsecureSkipVerify: true}
		})
		Expect(queryText(conn, "select $1", "x")).To(Equal("x"))
		idle, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = b.server.Shutdown(idle) }()
		Eventually(b.server.SessionCount).Should(BeZero())
	})

	It("is required if RequireTLS is set", func() {
		_, err := b.dial(nil)
		Expect(sqlStateOf(err)).To(Equal("28P01"))
	})

	It("does not accept clear text sent before the handshake as part of the session", func() {
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		startup := &pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters:      map[string]string{"user": "crane", "database": "plugs"},
		}
		_, err = conn.Write(append(encode(&pgproto3.SSLRequest{}), encode(startup)...))
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 1)
		_, err = io.ReadFull(conn, answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal([]byte{'S'}))
		secured := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		Expect(secured.Handshake()).NotTo(Succeed())
	})
})
