package loader

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// bind decodes the node into the value and records every error.
func (l *loadState) bind(path string, node ast.Node, into reflect.Value) {
	l.positions.values[path] = l.source.position(firstToken(node))
	switch n := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		l.fail(path, node, "anchors, aliases and merge keys are not supported")
		return
	case *ast.TagNode:
		l.fail(path, node, "tags are not supported")
		return
	case *ast.NullNode:
		l.bindNull(path, n, into)
		return
	}
	l.bindValue(path, node, into)
}

// firstToken returns the first token of a node. GetToken of a mapping in block
// style returns the first colon instead.
func firstToken(node ast.Node) *token.Token {
	switch n := node.(type) {
	case *ast.MappingValueNode:
		return n.Key.GetToken()
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return n.Values[0].Key.GetToken()
		}
	}
	return node.GetToken()
}

// bindNull leaves lists and structures unchanged; for other fields null is an error.
func (l *loadState) bindNull(path string, node *ast.NullNode, into reflect.Value) {
	if into.Kind() == reflect.Slice || into.Kind() == reflect.Struct && !isTextUnmarshaler(into) {
		return
	}
	l.fail(path, node, "%s has no value", lastElement(path))
}

func (l *loadState) bindValue(path string, node ast.Node, into reflect.Value) {
	switch {
	case into.Type() == durationType:
		l.bindDuration(path, node, into)
	case isTextUnmarshaler(into):
		l.bindText(path, node, into)
	case into.Kind() == reflect.Struct:
		l.bindStruct(path, node, into)
	case into.Kind() == reflect.Slice:
		l.bindSlice(path, node, into)
	default:
		l.bindScalar(path, node, into)
	}
}

func isTextUnmarshaler(into reflect.Value) bool {
	return into.Addr().Type().Implements(textUnmarshalerType)
}

func (l *loadState) bindStruct(path string, node ast.Node, into reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		l.failType(path, node, "a mapping")
		return
	}
	seen := map[string]Position{}
	for i := mapping.MapRange(); i.Next(); {
		l.bindField(path, i.KeyValue(), into, seen)
	}
}

func (l *loadState) bindField(path string, entry *ast.MappingValueNode, into reflect.Value, seen map[string]Position) {
	key, ok := keyText(entry.Key)
	if !ok {
		l.fail(path, entry.Key, "a key must be a scalar")
		return
	}
	at := l.source.position(entry.Key.GetToken())
	field := into.FieldByName(key)
	if !isExported(into.Type(), key) {
		l.errors.Add(at, joinPath(path, key), "unknown field %s%s", key, suggestion(into.Type(), key))
		return
	}
	if first, duplicate := seen[key]; duplicate {
		l.errors.Add(at, joinPath(path, key), "%s is given twice, first at %s", key, first)
		return
	}
	seen[key] = at
	l.positions.keys[joinPath(path, key)] = at
	if entry.Value == nil {
		l.fail(joinPath(path, key), entry.Key, "%s has no value", key)
		return
	}
	l.bind(joinPath(path, key), entry.Value, field)
	if _, null := entry.Value.(*ast.NullNode); null {
		l.positions.values[joinPath(path, key)] = at
	}
}

// keyText returns the text of a scalar key, or false for any other key.
func keyText(key ast.MapKeyNode) (string, bool) {
	if key == nil || key.IsMergeKey() {
		return "", false
	}
	if text, ok := key.(*ast.StringNode); ok {
		return text.Value, true
	}
	if scalar, ok := key.(ast.ScalarNode); ok && scalar.GetToken() != nil {
		return scalar.GetToken().Value, true
	}
	return "", false
}

func isExported(structure reflect.Type, key string) bool {
	field, ok := structure.FieldByName(key)
	return ok && field.IsExported()
}

// suggestion names the field that differs from the key in case alone.
func suggestion(structure reflect.Type, key string) string {
	for i := range structure.NumField() {
		field := structure.Field(i)
		if field.IsExported() && strings.EqualFold(field.Name, key) {
			return fmt.Sprintf("; did you mean %s?", field.Name)
		}
	}
	return ""
}

func (l *loadState) bindSlice(path string, node ast.Node, into reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		l.failType(path, node, "a list")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		if value == nil {
			l.fail(item, node, "%s has no value", lastElement(item))
			continue
		}
		l.bind(item, value, items.Index(i))
	}
	into.Set(items)
}

func (l *loadState) bindText(path string, node ast.Node, into reflect.Value) {
	text, ok := stringValue(node)
	if !ok {
		l.failType(path, node, "text")
		return
	}
	target := into.Addr().Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		l.fail(path, node, "%s is invalid: %v", lastElement(path), err)
	}
}

func (l *loadState) bindDuration(path string, node ast.Node, into reflect.Value) {
	text, ok := stringValue(node)
	if !ok {
		l.failType(path, node, "a duration such as 20s")
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		l.fail(path, node, "%s must be a duration such as 20s, not %q", lastElement(path), text)
		return
	}
	into.SetInt(int64(duration))
}

func stringValue(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		if n.Value == nil {
			return "", true
		}
		return n.Value.Value, true
	}
	return "", false
}

func (l *loadState) bindScalar(path string, node ast.Node, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		l.bindString(path, node, into)
	case reflect.Bool:
		l.bindBool(path, node, into)
	case reflect.Int, reflect.Int64:
		l.bindInt(path, node, into)
	case reflect.Float64:
		l.bindFloat(path, node, into)
	default:
		panic(fmt.Sprintf("loader: %s has unsupported type %s", path, into.Type()))
	}
}

func (l *loadState) bindString(path string, node ast.Node, into reflect.Value) {
	text, ok := stringValue(node)
	if !ok {
		l.failType(path, node, "text")
		return
	}
	into.SetString(text)
}

func (l *loadState) bindBool(path string, node ast.Node, into reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		l.failType(path, node, "true or false")
		return
	}
	into.SetBool(n.Value)
}

func (l *loadState) bindInt(path string, node ast.Node, into reflect.Value) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		l.failType(path, node, "a whole number")
		return
	}
	value, fits := integerValue(n)
	if !fits {
		l.fail(path, node, "%s is too large", lastElement(path))
		return
	}
	into.SetInt(value)
}

func integerValue(node *ast.IntegerNode) (int64, bool) {
	switch v := node.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

func (l *loadState) bindFloat(path string, node ast.Node, into reflect.Value) {
	switch n := node.(type) {
	case *ast.FloatNode:
		into.SetFloat(n.Value)
	case *ast.IntegerNode:
		value, fits := integerValue(n)
		if !fits {
			l.fail(path, node, "%s is too large", lastElement(path))
			return
		}
		into.SetFloat(float64(value))
	default:
		l.failType(path, node, "a number")
	}
}

func (l *loadState) failType(path string, node ast.Node, want string) {
	l.fail(path, node, "%s must be %s", lastElement(path), want)
}

// lastElement returns the last part of a path, for messages.
func lastElement(path string) string {
	if path == "" {
		return "the text"
	}
	return path[strings.LastIndexByte(path, '.')+1:]
}
