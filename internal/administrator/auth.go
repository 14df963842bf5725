package administrator

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// bootstrapName is the operator name of the bootstrap key.
const bootstrapName = "bootstrap"

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// authenticate returns the operator that the request's key belongs to.
func (a *Administrator) authenticate(r *http.Request) (*compiler.Operator, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return nil, answerer.New(answerer.Unauthenticated, "the request carries no key; send Authorization: Bearer KEY")
	}
	if !a.follower.Started() {
		return nil, answerer.New(answerer.StoreUnavailable, "this instance has not loaded the document yet")
	}
	hash := compiler.HashKey(key)
	operators := a.follower.Current().Operators
	if operator := findByKeyHash(operators, hash); operator != nil {
		return operator, nil
	}
	if len(operators) == 0 && equalHashes(hash, a.bootstrap) {
		return a.bootstrapOperator(r, hash)
	}
	return nil, answerer.New(answerer.Unauthenticated, "the key is not an operator's")
}

// findByKeyHash returns the operator with the key hash, or nil. It always compares
// with all operators, so that the response time reveals nothing about the key.
func findByKeyHash(operators map[string]*compiler.Operator, hash string) *compiler.Operator {
	var found *compiler.Operator
	for _, operator := range operators {
		if equalHashes(hash, operator.KeyHash) {
			found = operator
		}
	}
	return found
}

func equalHashes(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// bootstrapOperator returns the bootstrap operator, which has all rights, if the
// newest document has no operators either; this instance may not have loaded it
// yet. If the newest document has operators, the key must be one of theirs.
func (a *Administrator) bootstrapOperator(r *http.Request, hash string) (*compiler.Operator, error) {
	_, document, err := a.publisher.Show(r.Context(), 0)
	if err != nil {
		return nil, err
	}
	newest, err := compiler.Compile(document)
	if err == nil {
		if operator := findByKeyHash(newest.Operators, hash); operator != nil {
			return operator, nil
		}
	}
	if err != nil || len(newest.Operators) > 0 {
		return nil, answerer.Wrap(answerer.Unauthenticated, err, "the key is not an operator's")
	}
	return &compiler.Operator{Name: bootstrapName, Sections: []string{compiler.RightAll}}, nil
}
