package instance

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/settings"
)

// callersTLS returns the TLS configuration of the callers' listener, or nil if
// the settings name no certificate.
func callersTLS(callers settings.Callers) (*tls.Config, error) {
	if callers.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(callers.TLSCertificate, callers.TLSKey)
	if err != nil {
		return nil, errors.Wrap(err, "load the callers' certificate and key")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// meshTLS returns the TLS configurations of the two ends of a mesh connection,
// or nil if the settings name no certificate authority. Every certificate that
// the authority has signed is accepted; host names are not checked, since
// instances are known by IP address only.
func meshTLS(mesh settings.Mesh) (server, client *tls.Config, err error) {
	if mesh.TLSAuthority == "" {
		return nil, nil, nil
	}
	pem, err := os.ReadFile(mesh.TLSAuthority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the mesh certificate authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("mesh certificate authority %s: expected at least one PEM certificate, found none", mesh.TLSAuthority)
	}
	certificate, err := tls.LoadX509KeyPair(mesh.TLSCertificate, mesh.TLSKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the mesh certificate and key")
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates:       []tls.Certificate{certificate},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyPeer(state, authority) },
	}
	return server, client, nil
}

// verifyPeer checks that the authority has signed the peer's certificate.
func verifyPeer(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
