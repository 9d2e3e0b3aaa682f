// Command fetch asks a dispatcher for one part of an object and prints what it answers: by a token (-token, the text or
// the name of a file that holds it), or over TLS by a certificate (-cert, -key and -ca). It ends with status 1 where the GET was not returned.
package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"strings"

	"elderwall/internal/standin"
)

func main() {
	address := flag.String("dispatcher", "127.0.0.1:4100", "where the dispatcher listens")
	service := flag.String("service", "segment", "delivery service")
	object := flag.String("object", "7f3a9c21e0b4d655", "object, 16 hex digits")
	part := flag.String("part", "0", "part of the object")
	token := flag.String("token", "", "a token, or the file that holds it")
	chain, key := flag.String("cert", "", "the client's certificate"), flag.String("key", "", "and its key")
	ca := flag.String("ca", "", "the server's authority; the connection is by TLS then")
	flag.Parse()
	if raw, err := os.ReadFile(*token); err == nil {
		*token = strings.TrimSpace(string(raw))
	}
	c, err := dial(*address, *chain, *key, *ca)
	if err != nil {
		log.Fatal(err)
	}
	ready, err := c.Probe()
	if err != nil {
		log.Fatal(err)
	}
	if !ready {
		log.Fatal("the dispatcher is not ready")
	}
	if _, err := c.Process(standin.Fields("rid", fmt.Sprintf("%016x", rand.Uint64()), "method", *service,
		"budget", "2500", "obj", *object, "nth", *part, "token", *token), ""); err != nil {
		log.Fatal(err)
	}
	r, err := c.Read()
	if err != nil {
		log.Fatal(err)
	}
	if reason := r.Fields["reason"]; reason != "" {
		fmt.Printf("%s: %s\n", r.Kind, reason)
	} else {
		fmt.Printf("%s, %d bytes\n%.200s\n", r.Kind, len(r.Body), r.Body)
	}
	if r.Kind != "served" {
		os.Exit(1)
	}
}

// dial connects, by TLS where an authority is named.
func dial(address, chain, key, ca string) (*standin.Client, error) {
	if ca == "" {
		return standin.Dial(address)
	}
	raw, err := os.ReadFile(ca)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{RootCAs: x509.NewCertPool()}
	if !c.RootCAs.AppendCertsFromPEM(raw) {
		return nil, errors.New(ca + " holds no certificate")
	}
	if chain != "" {
		pair, err := tls.LoadX509KeyPair(chain, key)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return standin.DialTLS(address, c)
}
