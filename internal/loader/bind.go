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
	durationType  = reflect.TypeFor[time.Duration]()
	unmarshalText = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// bind copies the node into the value and records every fault.
func (l *loading) bind(path string, node ast.Node, into reflect.Value) {
	l.places.paths[path] = l.source.position(firstToken(node))
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

// firstToken returns the token that a node begins with; a mapping in block
// style would otherwise stand at its first colon.
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

// bindNull leaves lists and structures as they are; other fields need a value.
func (l *loading) bindNull(path string, node *ast.NullNode, into reflect.Value) {
	if into.Kind() == reflect.Slice || into.Kind() == reflect.Struct && !isText(into) {
		return
	}
	l.fail(path, node, "%s has no value", name(path))
}

func (l *loading) bindValue(path string, node ast.Node, into reflect.Value) {
	switch {
	case into.Type() == durationType:
		l.bindDuration(path, node, into)
	case isText(into):
		l.bindText(path, node, into)
	case into.Kind() == reflect.Struct:
		l.bindStruct(path, node, into)
	case into.Kind() == reflect.Slice:
		l.bindSlice(path, node, into)
	default:
		l.bindScalar(path, node, into)
	}
}

func isText(into reflect.Value) bool { return into.Addr().Type().Implements(unmarshalText) }

func (l *loading) bindStruct(path string, node ast.Node, into reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		l.wrongType(path, node, "a mapping")
		return
	}
	seen := map[string]Position{}
	for i := mapping.MapRange(); i.Next(); {
		l.bindField(path, i.KeyValue(), into, seen)
	}
}

func (l *loading) bindField(path string, entry *ast.MappingValueNode, into reflect.Value, seen map[string]Position) {
	key, ok := keyText(entry.Key)
	if !ok {
		l.fail(path, entry.Key, "a key must be a plain word")
		return
	}
	at := l.source.position(entry.Key.GetToken())
	field := into.FieldByName(key)
	if !isExported(into.Type(), key) {
		l.errors.Add(at, join(path, key), "unknown field %s%s", key, suggest(into.Type(), key))
		return
	}
	if rival, again := seen[key]; again {
		l.errors.Add(at, join(path, key), "%s is given twice, first at %s", key, rival)
		return
	}
	seen[key] = at
	l.places.keys[join(path, key)] = at
	if entry.Value == nil {
		l.fail(join(path, key), entry.Key, "%s has no value", key)
		return
	}
	l.bind(join(path, key), entry.Value, field)
	if _, null := entry.Value.(*ast.NullNode); null {
		l.places.paths[join(path, key)] = at
	}
}

// keyText returns the key as written; keys with a structure have none.
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

// suggest names the field that differs from the key in case alone.
func suggest(structure reflect.Type, key string) string {
	for i := range structure.NumField() {
		field := structure.Field(i)
		if field.IsExported() && strings.EqualFold(field.Name, key) {
			return fmt.Sprintf("; did you mean %s?", field.Name)
		}
	}
	return ""
}

func (l *loading) bindSlice(path string, node ast.Node, into reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		l.wrongType(path, node, "a list")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		if value == nil {
			l.fail(item, node, "%s has no value", name(item))
			continue
		}
		l.bind(item, value, items.Index(i))
	}
	into.Set(items)
}

func (l *loading) bindText(path string, node ast.Node, into reflect.Value) {
	text, ok := stringOf(node)
	if !ok {
		l.wrongType(path, node, "text")
		return
	}
	target := into.Addr().Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		l.fail(path, node, "%s is not usable: %v", name(path), err)
	}
}

func (l *loading) bindDuration(path string, node ast.Node, into reflect.Value) {
	text, ok := stringOf(node)
	if !ok {
		l.wrongType(path, node, "a duration such as 20s")
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		l.fail(path, node, "%s must be a duration such as 20s, not %q", name(path), text)
		return
	}
	into.SetInt(int64(duration))
}

func stringOf(node ast.Node) (string, bool) {
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

func (l *loading) bindScalar(path string, node ast.Node, into reflect.Value) {
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

func (l *loading) bindString(path string, node ast.Node, into reflect.Value) {
	text, ok := stringOf(node)
	if !ok {
		l.wrongType(path, node, "text")
		return
	}
	into.SetString(text)
}

func (l *loading) bindBool(path string, node ast.Node, into reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		l.wrongType(path, node, "true or false")
		return
	}
	into.SetBool(n.Value)
}

func (l *loading) bindInt(path string, node ast.Node, into reflect.Value) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		l.wrongType(path, node, "a whole number")
		return
	}
	value, fits := integerOf(n)
	if !fits {
		l.fail(path, node, "%s is too large", name(path))
		return
	}
	into.SetInt(value)
}

func integerOf(node *ast.IntegerNode) (int64, bool) {
	switch v := node.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

func (l *loading) bindFloat(path string, node ast.Node, into reflect.Value) {
	switch n := node.(type) {
	case *ast.FloatNode:
		into.SetFloat(n.Value)
	case *ast.IntegerNode:
		value, fits := integerOf(n)
		if !fits {
			l.fail(path, node, "%s is too large", name(path))
			return
		}
		into.SetFloat(float64(value))
	default:
		l.wrongType(path, node, "a number")
	}
}

func (l *loading) wrongType(path string, node ast.Node, want string) {
	l.fail(path, node, "%s must be %s", name(path), want)
}

// name returns the last part of a path, for messages.
func name(path string) string {
	if path == "" {
		return "the text"
	}
	return path[strings.LastIndexByte(path, '.')+1:]
}
