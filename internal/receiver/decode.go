package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// maximumNesting limits the nesting depth of a JSON body.
const maximumNesting = 16

// The syntax of names, keys and program ids in requests.
var (
	programIDPattern = regexp.MustCompile(`^[a-z0-9]{1,64}(\.[a-z0-9]{1,64})?$`)
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyPattern       = regexp.MustCompile(`^[!-~]{1,200}$`)
)

// setBodyDeadline sets the deadline for reading the body. It also applies to a
// rejected request, whose body net/http reads to its end. A handler that is called
// without a connection has no deadline.
func (x *exchange) setBodyDeadline() error {
	if x.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.writer)
	err := control.SetReadDeadline(time.Now().Add(x.receiver.bodyTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return answerer.Wrap(answerer.Internal, err, "cannot set the read deadline of the body")
	}
	return nil
}

// readBody reads the body to its end. From then on net/http clears the read
// deadline and reads the connection in the background, and it cancels the
// request's context when the caller disconnects.
func (x *exchange) readBody() ([]byte, error) {
	if x.request.ContentLength == 0 {
		return nil, nil
	}
	limited := http.MaxBytesReader(x.writer, x.request.Body, x.receiver.maximumBodyBytes)
	body, err := io.ReadAll(limited)
	if err != nil {
		return nil, x.bodyError(err)
	}
	return body, nil
}

// rejectBody wraps the handler of an operation that has no request body.
func rejectBody(h handler) handler {
	return func(x *exchange) error {
		if x.request.ContentLength != 0 {
			return answerer.New(answerer.BadRequest, "the operation does not accept a body")
		}
		return h(x)
	}
}

func (x *exchange) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answerer.New(answerer.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	x.writer.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return answerer.New(answerer.BadRequest, "the body was not received within %v", x.receiver.bodyTimeout)
	}
	return answerer.Wrap(answerer.BadRequest, err, "cannot read the body")
}

// decode decodes the JSON body into value.
func (x *exchange) decode(value any) error {
	media, _, err := mime.ParseMediaType(x.request.Header.Get("Content-Type"))
	if err != nil || media != contentJSON {
		return answerer.New(answerer.BadRequest, "header Content-Type must be %s", contentJSON)
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	return decodeJSON(body, value)
}

// decodeJSON decodes a body of exactly one JSON object and rejects unknown fields.
func decodeJSON(body []byte, value any) error {
	if !utf8.Valid(body) {
		return answerer.New(answerer.BadRequest, "the body is not valid UTF-8")
	}
	if err := validateObject(body); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return answerer.New(answerer.BadRequest, "cannot decode the JSON body: %v", err)
	}
	return nil
}

// validateObject requires a single JSON object that is not nested deeper than
// maximumNesting and has no duplicate top-level fields.
func validateObject(body []byte) error {
	if nestingDepth(body) > maximumNesting {
		return answerer.New(answerer.BadRequest, "the body is nested deeper than %d levels", maximumNesting)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return answerer.New(answerer.BadRequest, "the body is not a JSON object")
	}
	if err := rejectDuplicateFields(decoder); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != nil {
		return answerer.New(answerer.BadRequest, "the body is not valid JSON: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return answerer.New(answerer.BadRequest, "the body has data after the JSON object")
	}
	return nil
}

// rejectDuplicateFields reads the fields of the current object of the decoder. It
// compares names case-insensitively, as encoding/json matches them to fields.
func rejectDuplicateFields(decoder *json.Decoder) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return answerer.New(answerer.BadRequest, "the body is not valid JSON: %v", err)
		}
		name, _ := token.(string)
		folded := strings.ToLower(strings.ToUpper(name))
		if seen[folded] {
			return answerer.New(answerer.BadRequest, "field %q is duplicated", name)
		}
		seen[folded] = true
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return answerer.New(answerer.BadRequest, "the body is not valid JSON: %v", err)
		}
	}
	return nil
}

// nestingDepth returns the maximum nesting depth of objects and arrays.
func nestingDepth(body []byte) int {
	depth, deepest := 0, 0
	quoted, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case quoted && b == '\\':
			escaped = true
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			depth++
			deepest = max(deepest, depth)
		case b == '}' || b == ']':
			depth--
		}
	}
	return deepest
}
