package administrator

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// bootstrapName is the operator's name while the document has no operators.
const bootstrapName = "bootstrap"

// bearer is the scheme of the Authorization header.
const bearer = "Bearer "

// authenticate returns the operator whose key the request carries.
func (a *Administrator) authenticate(r *http.Request) (*compiler.Operator, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || key == "" {
		return nil, answerer.New(answerer.Unauthenticated, "the request carries no key; send Authorization: Bearer KEY")
	}
	if !a.follower.Started() {
		return nil, answerer.New(answerer.StoreUnavailable, "this instance does not know the document yet")
	}
	hash := compiler.HashKey(key)
	operators := a.follower.Current().Operators
	if operator := holder(operators, hash); operator != nil {
		return operator, nil
	}
	if len(operators) == 0 && same(hash, a.bootstrap) {
		return a.bootstrapOperator(r, hash)
	}
	return nil, answerer.New(answerer.Unauthenticated, "the key is not an operator's")
}

// holder compares with all operators, so that the time tells nothing about the key.
func holder(operators map[string]*compiler.Operator, hash string) *compiler.Operator {
	var found *compiler.Operator
	for _, operator := range operators {
		if same(hash, operator.KeyHash) {
			found = operator
		}
	}
	return found
}

func same(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// bootstrapOperator makes sure that the newest document, which this instance
// may not have yet, has no operators either. If it has, they count.
func (a *Administrator) bootstrapOperator(r *http.Request, hash string) (*compiler.Operator, error) {
	_, document, err := a.publisher.Show(r.Context(), 0)
	if err != nil {
		return nil, err
	}
	newest, err := compiler.Compile(document)
	if err == nil {
		if operator := holder(newest.Operators, hash); operator != nil {
			return operator, nil
		}
	}
	if err != nil || len(newest.Operators) > 0 {
		return nil, answerer.Wrap(answerer.Unauthenticated, err, "the key is not an operator's")
	}
	return &compiler.Operator{Name: bootstrapName, Sections: []string{compiler.RightAll}}, nil
}
