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

// maximumNesting bounds the nesting of a JSON body.
const maximumNesting = 16

// The forms of names and ids in requests.
var (
	programIDPattern = regexp.MustCompile(`^[a-z0-9]{1,64}(\.[a-z0-9]{1,64})?$`)
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyPattern       = regexp.MustCompile(`^[!-~]{1,200}$`)
)

// setBodyDeadline sets the time within which the caller has to send the body. It
// holds for a refused request too, whose body net/http reads to its end. A
// handler that is driven without a connection has no deadline.
func (x *exchange) setBodyDeadline() error {
	if x.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.writer)
	err := control.SetReadDeadline(time.Now().Add(x.receiver.bodyTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return answerer.Wrap(answerer.Internal, err, "the body's deadline could not be set")
	}
	return nil
}

// readBody returns the whole body. Once it is read to its end, net/http lifts
// the deadline and watches the connection, which ends the request's context
// when the caller hangs up.
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

// rejectBody returns the handler for an operation that takes no body.
func rejectBody(h handler) handler {
	return func(x *exchange) error {
		if x.request.ContentLength != 0 {
			return answerer.New(answerer.BadRequest, "the operation takes no body")
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
		return answerer.New(answerer.BadRequest, "the body did not arrive within %v", x.receiver.bodyTimeout)
	}
	return answerer.Wrap(answerer.BadRequest, err, "the body could not be read")
}

// decode reads the JSON body into value.
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

// decodeJSON decodes exactly one object without unknown fields.
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
		return answerer.New(answerer.BadRequest, "the body is not the JSON object expected: %v", err)
	}
	return nil
}

// validateObject requires one JSON object, bounded in depth, with no field given
// twice at its top.
func validateObject(body []byte) error {
	if nestingDepth(body) > maximumNesting {
		return answerer.New(answerer.BadRequest, "the body is nested deeper than %d", maximumNesting)
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
		return answerer.New(answerer.BadRequest, "the body has more than one JSON value")
	}
	return nil
}

// rejectDuplicateFields reads the fields of the object that the decoder is in.
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
			return answerer.New(answerer.BadRequest, "the field %q is given twice", name)
		}
		seen[folded] = true
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return answerer.New(answerer.BadRequest, "the body is not valid JSON: %v", err)
		}
	}
	return nil
}

// nestingDepth returns the deepest nesting of objects and arrays.
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
