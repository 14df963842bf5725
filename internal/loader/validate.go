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

// Validation tags that this package adds to those of validator/v10.
const (
	tagName  = "name"
	tagModel = "model"
	tagHash  = "keyhash"
	tagPath  = "urlpath"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
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

// addressText makes the validator treat an absent address as an empty string.
func addressText(field reflect.Value) any {
	address, ok := field.Interface().(netip.AddrPort)
	if !ok || !address.IsValid() {
		return ""
	}
	return address.String()
}

// validate records the violated validation tags, except for fields that could
// not be decoded.
func (l *loadState) validate(value any) {
	var violations validator.ValidationErrors
	if !errors.As(structValidator.Struct(value), &violations) {
		return
	}
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.StructNamespace(), ".")
		if l.hasFailed(path) {
			continue
		}
		l.errors.Add(l.positions.At(path), path, "%s %s", l.displayName(path), ruleMessage(violation))
	}
}

// hasFailed reports whether the value at the path or an enclosing one could not
// be decoded.
func (l *loadState) hasFailed(path string) bool {
	for path != "" && !l.failed[path] {
		path = parentPath(path)
	}
	return l.failed[path]
}

// displayName returns the last element of the path, or the whole path if the
// text does not contain the enclosing value either.
func (l *loadState) displayName(path string) string {
	if l.positions.Contains(path) || l.positions.Contains(parentPath(path)) {
		return lastElement(path)
	}
	return path
}

// ruleMessage describes the violated validation tag.
func ruleMessage(violation validator.FieldError) string {
	if text, ok := violation.Value().(string); ok && text == "" {
		return "is required"
	}
	sized := violation.Kind() == reflect.Slice || violation.Kind() == reflect.String
	switch tag := violation.Tag(); tag {
	case "required", "required_if", "required_unless", "required_with", "required_without":
		return "is required"
	case "min", "gte":
		if sized {
			return "must have a length of at least " + violation.Param()
		}
		return "must be at least " + violation.Param()
	case "max", "lte":
		if sized {
			return "must have a length of at most " + violation.Param()
		}
		return "must be at most " + violation.Param()
	case "gt":
		return "must be more than " + violation.Param()
	case "gtefield":
		return "must be at least " + violation.Param()
	case "ltfield":
		return "must be less than " + violation.Param()
	case "oneof":
		return "must be one of " + strings.ReplaceAll(violation.Param(), " ", ", ")
	case "unique":
		return "must not have duplicate entries"
	case tagName:
		return fmt.Sprintf("must be lower-case letters, digits and hyphens, not %q", violation.Value())
	case tagModel:
		return fmt.Sprintf("must be letters, digits and ._:/-, not %q", violation.Value())
	case tagHash:
		return "must be a SHA-256 sum of 64 lower-case hexadecimal digits"
	case tagPath:
		return fmt.Sprintf("must be a URL path that begins with a slash, not %q", violation.Value())
	default:
		return fmt.Sprintf("violates the validation rule %s %s", tag, violation.Param())
	}
}
