package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern  = regexp.MustCompile(`^/[^\s?#]*$`)
)

// The validation tags besides those of the library.
const (
	tagName  = "name"
	tagModel = "model"
	tagHash  = "keyhash"
	tagPath  = "urlpath"
)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	patterns := map[string]*regexp.Regexp{
		tagName: namePattern, tagModel: modelPattern, tagHash: hashPattern, tagPath: pathPattern,
	}
	for tag, pattern := range patterns {
		matches := func(f validator.FieldLevel) bool { return pattern.MatchString(f.Field().String()) }
		if err := v.RegisterValidation(tag, matches); err != nil {
			panic(err)
		}
	}
	v.RegisterCustomTypeFunc(addressText, netip.AddrPort{})
	return v
}

// addressText lets the library's tags see an absent address as empty.
func addressText(field reflect.Value) any {
	address, ok := field.Interface().(netip.AddrPort)
	if !ok || !address.IsValid() {
		return ""
	}
	return address.String()
}

// validate adds the faults that the validation tags find, but for fields that
// could not be read at all.
func (l *loading) validate(value any) {
	var faults validator.ValidationErrors
	if !errors.As(checker.Struct(value), &faults) {
		return
	}
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.StructNamespace(), ".")
		if l.unreadAround(path) {
			continue
		}
		l.errors.Add(l.places.At(path), path, "%s %s", l.shortest(path), rule(fault))
	}
}

// unreadAround says whether the value at the path or one around it was not read.
func (l *loading) unreadAround(path string) bool {
	for path != "" && !l.unread[path] {
		path = parent(path)
	}
	return l.unread[path]
}

// shortest returns the last part of the path, or the whole path if not even
// the value around it is in the text.
func (l *loading) shortest(path string) string {
	if l.places.Contains(path) || l.places.Contains(parent(path)) {
		return name(path)
	}
	return path
}

// rule says in words what a tag asks for.
func rule(fault validator.FieldError) string {
	if text, ok := fault.Value().(string); ok && text == "" {
		return "is required"
	}
	sized := fault.Kind() == reflect.Slice || fault.Kind() == reflect.String
	switch tag := fault.Tag(); tag {
	case "required", "required_if", "required_unless", "required_with", "required_without":
		return "is required"
	case "min", "gte":
		if sized {
			return "must have a length of at least " + fault.Param()
		}
		return "must be at least " + fault.Param()
	case "max", "lte":
		if sized {
			return "must have a length of at most " + fault.Param()
		}
		return "must be at most " + fault.Param()
	case "gt":
		return "must be more than " + fault.Param()
	case "gtefield":
		return "must be at least " + fault.Param()
	case "ltfield":
		return "must be less than " + fault.Param()
	case "oneof":
		return "must be one of " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "unique":
		return "has the same entry twice"
	case tagName:
		return fmt.Sprintf("must be lower-case letters, digits and hyphens, not %q", fault.Value())
	case tagModel:
		return fmt.Sprintf("must be letters, digits and ._:/-, not %q", fault.Value())
	case tagHash:
		return "must be a SHA-256 sum of 64 lower-case hexadecimal digits"
	case tagPath:
		return fmt.Sprintf("must be a URL path that begins with a slash, not %q", fault.Value())
	default:
		return fmt.Sprintf("fails the rule %s %s", tag, fault.Param())
	}
}
