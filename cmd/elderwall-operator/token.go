package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"elderwall/core/admission"
	"elderwall/internal/token"
)

const idBytes = 12 // of a token's id; two alike in 2^48 tokens

// tokenCommand signs and shows tokens.
type tokenCommand struct {
	Sign signToken `cmd:"" help:"Sign a token and print it."`
	Show showToken `cmd:"" help:"Show what a token says, and whether a key set has its key and finds its signature right."`
}

type signToken struct {
	Private  string        `required:"" help:"The private key, as keys new wrote it." type:"existingfile" placeholder:"FILE"`
	Tenant   string        `required:"" help:"The tenant that it speaks for."`
	Subject  string        `required:"" help:"The caller."`
	Issuer   string        `help:"Who signs."`
	Audience []string      `help:"Whom it is for."`
	For      time.Duration `default:"1h" help:"How long it counts."`
	In       time.Duration `help:"How long until it begins to count."`
	ID       string        `help:"Its id (jti); one by chance without."`
}

// Run signs.
func (s *signToken) Run() error {
	raw, err := os.ReadFile(s.Private)
	if err != nil {
		return fmt.Errorf("private key: %w", err)
	}
	keys, err := token.ReadSet(raw, true)
	if err != nil {
		return err
	}
	if len(keys) != 1 || !keys[0].Secret() {
		return fmt.Errorf("%s holds not just one private key", s.Private)
	}
	if s.ID == "" {
		var b [idBytes]byte
		_, _ = rand.Read(b[:])
		s.ID = hex.EncodeToString(b[:])
	}
	now := time.Now()
	text, err := keys[0].Sign(admission.Claims{
		Issuer: s.Issuer, Subject: s.Subject, ID: s.ID, Tenant: s.Tenant,
		Audience: s.Audience, IssuedAt: float64(now.Unix()), NotBefore: float64(now.Add(s.In).Unix()),
		Expiry: float64(now.Add(s.In + s.For).Unix()),
	})
	if err != nil {
		return err
	}
	fmt.Println(text)
	return nil
}

type showToken struct {
	Token string `arg:"" optional:"" help:"The token; from standard input without."`
	Set   string `help:"The JWK Set to check it by." type:"existingfile" placeholder:"FILE"`
}

// Run shows what a token says. What can't be checked is said to be so.
func (s *showToken) Run() error {
	if s.Token == "" {
		raw, err := io.ReadAll(io.LimitReader(os.Stdin, token.Longest+1))
		if err != nil {
			return fmt.Errorf("token: %w", err)
		}
		s.Token = strings.TrimSpace(string(raw))
	}
	t, err := token.Parse(s.Token)
	if err != nil {
		return err
	}
	fmt.Printf("key %s, algorithm %s\n", t.KeyID, t.Algorithm)
	c, err := t.Unverified()
	if err != nil {
		return err
	}
	fmt.Printf("tenant %s, subject %s, issuer %s, id %s, audience %s\nissued %s, from %s, until %s\n", c.Tenant, c.Subject,
		c.Issuer, c.ID, strings.Join(c.Audience, " "), moment(c.IssuedAt), moment(c.NotBefore), moment(c.Expiry))
	if s.Set == "" {
		fmt.Println("signature not checked: no key set is named")
		return nil
	}
	raw, err := os.ReadFile(s.Set)
	if err != nil {
		return fmt.Errorf("key set: %w", err)
	}
	keys, err := token.ReadSet(raw, false)
	if err != nil {
		return err
	}
	k := token.Find(keys, t.KeyID)
	if k == nil {
		return fmt.Errorf("the set has no key %q", t.KeyID)
	}
	if _, err = t.Verify(k); err != nil {
		return err
	}
	fmt.Printf("signature is right; the key is %s\n", token.StateName(k.State))
	return nil
}
