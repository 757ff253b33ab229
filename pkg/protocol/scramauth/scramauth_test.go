package scramauth_test

import (
	"testing"

	"github.com/xdg-go/scram"

	"gypsumdock/pkg/protocol/scramauth"
)

// exchange authenticates with password against verifier. It returns the server's
// first message, which contains the salt, and whether the password was accepted.
func exchange(t *testing.T, verifier, password string) (first string, accepted bool) {
	t.Helper()
	server, err := scramauth.NewExchange("crane", verifier, []byte("secret"))
	if err != nil {
		t.Fatal(err)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	conversation := client.WithNonceGenerator(func() string { return "nonce" }).NewConversation()
	message, err := conversation.Step("")
	if err != nil {
		t.Fatal(err)
	}
	first, err = server.First(message)
	if err != nil {
		t.Fatal(err)
	}
	message, err = conversation.Step(first)
	if err != nil {
		t.Fatal(err)
	}
	_, err = server.Final(message)
	return first, err == nil
}

// TestExchange checks that only the right password is accepted.
func TestExchange(t *testing.T) {
	verifier, err := scramauth.NewVerifier("secret")
	if err != nil {
		t.Fatal(err)
	}
	if _, accepted := exchange(t, verifier, "secret"); !accepted {
		t.Error("the right password is refused")
	}
	if _, accepted := exchange(t, verifier, "wrong"); accepted {
		t.Error("a wrong password is accepted")
	}
	if _, accepted := exchange(t, "", "secret"); accepted {
		t.Error("a caller without a verifier is accepted")
	}
}

// TestUnknownCaller checks that an unknown caller gets the same salt in each attempt,
// as a known one does.
func TestUnknownCaller(t *testing.T) {
	salt := func() string {
		first, _ := exchange(t, "", "any")
		return first[len(first)-len("s=................,i=4096")-8:]
	}
	if one, two := salt(), salt(); one != two {
		t.Errorf("salt changes from %q to %q", one, two)
	}
}

// FuzzParseVerifier checks that accepted verifiers have valid parts.
func FuzzParseVerifier(f *testing.F) {
	verifier, err := scramauth.NewVerifier("secret")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(verifier)
	f.Add("SCRAM-SHA-256$4096:c2FsdA==$AA==:AA==")
	f.Fuzz(func(t *testing.T, text string) {
		credentials, err := scramauth.ParseVerifier(text)
		if err == nil && (credentials.Iters < 1 || credentials.Salt == "" || len(credentials.StoredKey) != 32) {
			t.Errorf("accepted %q", text)
		}
	})
}
