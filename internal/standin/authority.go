package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"time"
)

// Authority issues certificates and revokes them (RFC 5280). What goes wrong makes it panic, which is what a test
// wants.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	serial  int64
	revoked []x509.RevocationListEntry
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(fmt.Errorf("stand-in: %w", err))
	}
	return v
}

// NewAuthority is one that signs itself.
func NewAuthority(name string) *Authority {
	a := &Authority{key: must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader)), serial: 1}
	of := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	a.cert = must(x509.ParseCertificate(must(x509.CreateCertificate(rand.Reader, of, of, &a.key.PublicKey, a.key))))
	return a
}

// PEM is its own certificate.
func (a *Authority) PEM() []byte { return block("CERTIFICATE", a.cert.Raw) }

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue makes a certificate, for the server's address and a caller's name alike, that counts until a time.
func (a *Authority) Issue(name, uri string, until time.Time) (chain, key []byte) {
	a.serial++
	k := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	of := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if uri != "" {
		of.URIs = []*url.URL{must(url.Parse(uri))}
	}
	der := must(x509.CreateCertificate(rand.Reader, of, a.cert, &k.PublicKey, a.key))
	return block("CERTIFICATE", der), block("PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(k)))
}

// Client is what a client connects with whose certificate this authority issues.
func (a *Authority) Client(name, uri string, until time.Time) *tls.Config {
	chain, key := a.Issue(name, uri, until)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{must(tls.X509KeyPair(chain, key))}}
}

// Revoke puts the last certificate issued on the list, and gives the list.
func (a *Authority) Revoke() []byte {
	a.revoked = append(a.revoked, x509.RevocationListEntry{SerialNumber: big.NewInt(a.serial), RevocationTime: time.Now()})
	return a.List()
}

// List is the revocation list as of now.
func (a *Authority) List() []byte {
	list := &x509.RevocationList{
		Number: big.NewInt(time.Now().UnixNano()), ThisUpdate: time.Now(), NextUpdate: time.Now().Add(time.Hour),
		RevokedCertificateEntries: a.revoked,
	}
	return block("X509 CRL", must(x509.CreateRevocationList(rand.Reader, list, a.cert, a.key)))
}

// DialTLS connects a client to the TLS listener of a dispatcher.
func DialTLS(address string, c *tls.Config) (*Client, error) {
	if c.ServerName == "" { // whatever loopback address it stands at
		c = c.Clone()
		c.ServerName = "127.0.0.1"
	}
	conn, err := tls.Dial("tcp", address, c)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return &Client{Conn: conn}, nil
}

// Identify gives a token for the connection, and the answer: Kind is served if it names a caller.
func (c *Client) Identify(token string) (Reply, error) {
	c.seq++
	if err := c.write(Call("identify", 1, c.seq, append([]byte{11, 0, 1}, text(token)...))); err != nil {
		return Reply{}, err
	}
	return c.Read()
}
