package pgwire

import (
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"github.com/xdg-go/scram"
)

// MechanismSCRAM is the one SASL mechanism spoken here.
const MechanismSCRAM = "SCRAM-SHA-256"

// Authenticator answers the authentication requests of a backend. It does no I/O; one serves one connection.
type Authenticator struct {
	user, password string
	conversation   *scram.ClientConversation
	proven         bool // the backend showed that it knows the password
}

// NewAuthenticator answers as the user given.
func NewAuthenticator(user, password string) *Authenticator {
	return &Authenticator{user: user, password: password}
}

// Answer appends what is due after the request. done is true after AuthOK.
func (a *Authenticator) Answer(b []byte, req Auth) (out []byte, done bool, err error) {
	switch req.Code {
	case AuthOK:
		if a.conversation != nil && !a.proven {
			return b, false, errors.New("the db node ended SCRAM without proving that it knows the password")
		}
		return b, true, nil
	case AuthCleartext:
		if a.password == "" {
			return b, false, errors.New("the db node asks for a password and none is set")
		}
		return AppendPassword(b, a.password), false, nil
	case AuthSASL:
		return a.first(b, req)
	case AuthSASLContinue, AuthSASLFinal:
		return a.next(b, req)
	}
	return b, false, fmt.Errorf("authentication method %d is not spoken here; use scram-sha-256 or password", req.Code)
}

func (a *Authenticator) first(b []byte, req Auth) ([]byte, bool, error) {
	if !slices.Contains(req.Mechanisms, MechanismSCRAM) {
		return b, false, fmt.Errorf("the db node offers %q, only %s is spoken here", req.Mechanisms, MechanismSCRAM)
	}
	if a.password == "" {
		return b, false, errors.New("the db node asks for a password and none is set")
	}
	// PostgreSQL takes the user from the startup packet and ignores the one within SCRAM.
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
		return b, false, errors.New("the db node went on with SASL before it began")
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

// Verifier is the backend's side of one SCRAM exchange.
type Verifier struct{ conversation *scram.ServerConversation }

// NewVerifier checks one exchange against the password given.
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

// Step takes a message of the frontend and returns the next of the backend; done means that it was the last.
func (v *Verifier) Step(data []byte) (answer []byte, done bool, err error) {
	text, err := v.conversation.Step(string(data))
	return []byte(text), v.conversation.Done(), err
}
