// Package certs reads a listener's certificates, authorities and revocation lists (RFC 5280), and tells what a
// client's certificate says. Whether that still counts, callers decides by each GET.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"elderwall/core/admission"
)

const (
	mostAuthorities = 1024    // certificates in the file
	mostRevoked     = 1 << 20 // in all lists; a hundred MB of them
)

// Material is what a listener needs, read and checked.
type Material struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool // of clients; nil where none are asked for a certificate
	Required    bool           // a client without one is turned away
	Only13      bool           // TLS 1.2 is refused

	Prints  []string           // of the authorities
	Revoked []admission.Serial // by their lists
	Stale   []time.Time        // ends of lists; one that is past still counts, and is told of
}

// Read takes PEM files whole: a chain with its key, authorities, and their revocation lists.
func (m *Material) Read(chain, key, authorities []byte, crls [][]byte) error {
	var all []error
	var err error
	if _, err = blocks(chain, "CERTIFICATE"); err != nil {
		all = append(all, fmt.Errorf("certificate: %w", err))
	} else if m.Certificate, err = tls.X509KeyPair(chain, key); err != nil {
		all = append(all, fmt.Errorf("certificate and key: %w", err))
	}
	roots, err := m.authorities(authorities)
	if err != nil {
		return errors.Join(append(all, fmt.Errorf("authorities: %w", err))...) // by whom lists are signed can't be told
	}
	for i, raw := range crls {
		if err := m.crl(raw, roots); err != nil {
			all = append(all, fmt.Errorf("revocations %d: %w", i, err))
		}
	}
	return errors.Join(all...)
}

// blocks takes PEM blocks of a kind. What can't be read is no end of the file: guards against one that is there in
// part only.
func blocks(raw []byte, kind string) (ders [][]byte, err error) {
	for rest := raw; ; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			if len(bytes.TrimSpace(rest)) > 0 || len(ders) == 0 {
				return nil, fmt.Errorf("no whole PEM block %q after %d", kind, len(ders))
			}
			return ders, nil
		}
		if b.Type != kind {
			return nil, fmt.Errorf("a PEM block %q, not %q", b.Type, kind)
		}
		ders = append(ders, b.Bytes)
	}
}

func (m *Material) authorities(raw []byte) (roots []*x509.Certificate, err error) {
	if raw == nil {
		return nil, nil
	}
	ders, err := blocks(raw, "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	if len(ders) > mostAuthorities {
		return nil, fmt.Errorf("%d, at most %d", len(ders), mostAuthorities)
	}
	m.Authorities = x509.NewCertPool()
	for _, der := range ders {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("%w", err)
		}
		if !c.IsCA {
			return nil, fmt.Errorf("%q is no authority", c.Subject)
		}
		m.Authorities.AddCert(c)
		m.Prints = append(m.Prints, fingerprint(c))
		roots = append(roots, c)
	}
	return roots, nil
}

// crl takes a revocation list that one of the authorities has signed.
func (m *Material) crl(raw []byte, roots []*x509.Certificate) error {
	ders := [][]byte{raw}
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("-----BEGIN")) {
		var err error
		if ders, err = blocks(raw, "X509 CRL"); err != nil {
			return err
		}
	}
	for _, der := range ders {
		list, err := x509.ParseRevocationList(der)
		if err != nil {
			return fmt.Errorf("%w", err)
		}
		if !signed(list, roots) {
			return fmt.Errorf("list of %q is signed by none of the authorities", list.Issuer)
		}
		if len(m.Revoked)+len(list.RevokedCertificateEntries) > mostRevoked {
			return fmt.Errorf("over %d certificates are revoked", mostRevoked)
		}
		for _, e := range list.RevokedCertificateEntries {
			m.Revoked = append(m.Revoked, serial(list.RawIssuer, e.SerialNumber))
		}
		m.Stale = append(m.Stale, list.NextUpdate)
	}
	return nil
}

func signed(list *x509.RevocationList, roots []*x509.Certificate) bool {
	for _, root := range roots {
		if bytes.Equal(root.RawSubject, list.RawIssuer) && list.CheckSignatureFrom(root) == nil {
			return true
		}
	}
	return false
}

func serial(issuer []byte, number *big.Int) admission.Serial {
	sum := sha256.Sum256(issuer)
	return admission.Serial{Issuer: hex.EncodeToString(sum[:]), Number: number.Text(16)}
}

func fingerprint(c *x509.Certificate) string {
	sum := sha256.Sum256(c.Raw)
	return hex.EncodeToString(sum[:])
}

// Listener is the material in force; handshakes take it as it is at that moment.
type Listener struct{ now atomic.Pointer[tls.Config] }

// Take puts material in force for handshakes from now on; open connections go on.
func (l *Listener) Take(m *Material) { l.now.Store(m.config()) }

// Config is what a listener is made with. It has the keys of sessions, which changes of material must not end.
func (l *Listener) Config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return l.now.Load(), nil },
	}
}

// Over makes a listener one for TLS. It is still one of TCP, whose accepts can be stopped as a drain wants it.
func (l *Listener) Over(tcp *net.TCPListener) net.Listener { return secured{tcp, l.Config()} }

type secured struct {
	*net.TCPListener
	config *tls.Config
}

// Accept gives a connection whose handshake is still to be done.
func (l secured) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(c, l.config), nil
}

// config is the material for handshakes. A certificate that counts no more is no fault of a handshake: its
// connection is refused by each GET, with an answer that says so, as one resumed from an earlier session is.
func (m *Material) config() *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.Certificate},
		ClientCAs: m.Authorities,
	}
	if m.Only13 {
		c.MinVersion = tls.VersionTLS13
	}
	switch {
	case m.Authorities == nil:
	case m.Required:
		c.ClientAuth = tls.RequireAndVerifyClientCert
	default:
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return c
}

// Facts is what the certificate of a connection says; nil without one.
func Facts(s tls.ConnectionState) *admission.Certificate {
	if len(s.PeerCertificates) == 0 {
		return nil
	}
	c := s.PeerCertificates[0]
	f := &admission.Certificate{
		Serial: serial(c.RawIssuer, c.SerialNumber), From: float64(c.NotBefore.Unix()),
		Until: float64(c.NotAfter.Unix()),
	}
	for _, uri := range c.URIs {
		f.Names = append(f.Names, "uri:"+uri.String())
	}
	for _, name := range c.DNSNames {
		f.Names = append(f.Names, "dns:"+name)
	}
	if c.Subject.CommonName != "" {
		f.Names = append(f.Names, "cn:"+c.Subject.CommonName)
	}
	seen := map[string]bool{}
	for _, chain := range s.VerifiedChains {
		for _, above := range chain[1:] {
			if p := fingerprint(above); !seen[p] {
				seen[p] = true
				f.Authorities = append(f.Authorities, p)
			}
		}
	}
	return f
}
