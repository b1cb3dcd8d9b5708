package pgwire

import (
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"github.com/xdg-go/scram"
)

// MechanismSCRAM is the only supported SASL mechanism.
const MechanismSCRAM = "SCRAM-SHA-256"

// Authenticator is the frontend's side of the authentication of one connection, by SCRAM-SHA-256 or a clear-text
// password. It does no I/O and is not safe for concurrent use.
type Authenticator struct {
	user, password string
	conversation   *scram.ClientConversation
	proven         bool // the backend proved that it knows the password
}

// NewAuthenticator returns an Authenticator for the given user. An empty password means that none is configured.
func NewAuthenticator(user, password string) *Authenticator {
	return &Authenticator{user: user, password: password}
}

// Answer appends the answer to an authentication request to b. done is true if the request was AuthOK, which needs no
// answer. Answer returns an error if the method is not supported, if a password is required and none is configured, if
// the backend fails the SCRAM exchange, or if it sends AuthOK in the midst of one.
func (a *Authenticator) Answer(b []byte, req Auth) (out []byte, done bool, err error) {
	switch req.Code {
	case AuthOK:
		if a.conversation != nil && !a.proven {
			return b, false, errors.New("the database node ended SCRAM without proving that it knows the password")
		}
		return b, true, nil
	case AuthCleartext:
		if a.password == "" {
			return b, false, errors.New("the database node requires a password, but none is configured")
		}
		return AppendPassword(b, a.password), false, nil
	case AuthSASL:
		return a.first(b, req)
	case AuthSASLContinue, AuthSASLFinal:
		return a.next(b, req)
	}
	return b, false, fmt.Errorf("authentication method %d is not supported; use scram-sha-256 or password", req.Code)
}

func (a *Authenticator) first(b []byte, req Auth) ([]byte, bool, error) {
	if !slices.Contains(req.Mechanisms, MechanismSCRAM) {
		return b, false, fmt.Errorf("the database node offers the SASL mechanisms %q, only %s is supported", req.Mechanisms, MechanismSCRAM)
	}
	if a.password == "" {
		return b, false, errors.New("the database node requires a password, but none is configured")
	}
	// PostgreSQL takes the user name from the startup packet and ignores the one in the SCRAM exchange.
	client, err := scram.SHA256.NewClient("", a.password, "")
	if err != nil {
		return b, false, fmt.Errorf("password: %w", err)
	}
	a.conversation = client.NewConversation()
	text, err := a.conversation.Step("")
	if err != nil {
		return b, false, err
	}
	return AppendSASLInitial(b, MechanismSCRAM, []byte(text)), false, nil
}

func (a *Authenticator) next(b []byte, req Auth) ([]byte, bool, error) {
	if a.conversation == nil {
		return b, false, errors.New("the database node continued a SASL exchange that has not begun")
	}
	text, err := a.conversation.Step(string(req.Data))
	if err != nil {
		return b, false, fmt.Errorf("SCRAM: %w", err)
	}
	if req.Code == AuthSASLFinal {
		a.proven = a.conversation.Valid()
		return b, false, nil
	}
	return AppendSASLResponse(b, []byte(text)), false, nil
}

// Verifier is the backend's side of one SCRAM-SHA-256 exchange. It is not safe for concurrent use.
type Verifier struct{ conversation *scram.ServerConversation }

// NewVerifier returns a Verifier of the given password, with a random salt and 4096 iterations. It returns an error if
// the password cannot be normalized as SCRAM requires.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: rand.Text(), Iters: 4096})
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return nil, err
	}
	return &Verifier{conversation: server.NewConversation()}, nil
}

// Step takes the data of a frontend's SASL message and returns that of the backend's next one. done is true after the last
// message. Step returns an error if the message is malformed or the frontend does not know the password.
func (v *Verifier) Step(data []byte) (answer []byte, done bool, err error) {
	text, err := v.conversation.Step(string(data))
	return []byte(text), v.conversation.Done(), err
}
