// Package codec encodes values as CBOR, and values of sealed interfaces together
// with the name of their variant.
package codec

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"github.com/fxamacker/cbor/v2"
)

// An Error reports a value that could not be encoded or decoded.
type Error struct {
	// Type is the Go type or the name of the variant.
	Type string
	// Cause is the error of the CBOR library or of the union.
	Cause error
}

// Error returns the type and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("codec: %s: %v", e.Type, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

var (
	encMode = must(cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical,
		Time: cbor.TimeRFC3339NanoUTC,
	}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 1 << 24,
		MaxMapPairs:      1 << 24,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns v as CBOR with sorted keys.
func Marshal[T any](v T) (b []byte, err error) {
	defer annotate[T](&err)
	return encMode.Marshal(v)
}

// Unmarshal returns the value that b encodes.
func Unmarshal[T any](b []byte) (v T, err error) {
	defer annotate[T](&err)
	err = decMode.Unmarshal(b, &v)
	return v, err
}

func annotate[T any](err *error) {
	if *err == nil {
		return
	}
	*err = &Error{
		Type:  reflect.TypeFor[T]().String(),
		Cause: *err,
	}
}

// A Variant is a type that implements the sealed interface T, with the name that
// it is encoded under.
type Variant[T any] struct {
	name   string
	typ    reflect.Type
	decode func(b []byte) (T, error)
}

// Of returns the variant V of the sealed interface T. Its name is the Go name of
// V in kebab case, so renaming V changes what is stored and sent.
func Of[T, V any]() Variant[T] {
	typ := reflect.TypeFor[V]()
	return Variant[T]{
		name: Kebab(typ.Name()),
		typ:  typ,
		decode: func(b []byte) (v T, err error) {
			body, err := Unmarshal[V](b)
			if err != nil {
				return v, err
			}
			return any(body).(T), nil
		},
	}
}

// A Union encodes and decodes the values of a sealed interface by the name of
// their variant.
type Union[T any] struct {
	byName map[string]Variant[T]
	byType map[reflect.Type]Variant[T]
}

type taggedValue struct {
	Kind string          `json:"kind"`
	Body cbor.RawMessage `json:"body"`
}

// NewUnion returns a union of the given variants.
func NewUnion[T any](variants ...Variant[T]) Union[T] {
	u := Union[T]{
		byName: make(map[string]Variant[T], len(variants)),
		byType: make(map[reflect.Type]Variant[T], len(variants)),
	}
	for _, v := range variants {
		u.byName[v.name] = v
		u.byType[v.typ] = v
	}
	return u
}

// Name returns the name of v's variant, or "" if it is not part of the union.
func (u Union[T]) Name(v T) string {
	return u.byType[reflect.TypeOf(v)].name
}

// Marshal returns v and the name of its variant as CBOR.
func (u Union[T]) Marshal(v T) (b []byte, err error) {
	variant, ok := u.byType[reflect.TypeOf(v)]
	if !ok {
		return nil, &Error{
			Type:  fmt.Sprintf("%T", v),
			Cause: errUnknownVariant,
		}
	}
	body, err := Marshal[any](v)
	if err != nil {
		return nil, err
	}
	return Marshal(taggedValue{
		Kind: variant.name,
		Body: body,
	})
}

// Unmarshal returns the value that b encodes.
func (u Union[T]) Unmarshal(b []byte) (v T, err error) {
	t, err := Unmarshal[taggedValue](b)
	if err != nil {
		return v, err
	}
	variant, ok := u.byName[t.Kind]
	if !ok {
		return v, &Error{
			Type:  t.Kind,
			Cause: errUnknownVariant,
		}
	}
	return variant.decode(t.Body)
}

type unknownVariantError struct{}

// Error says that the variant is not part of the union.
func (unknownVariantError) Error() string {
	return "unknown variant"
}

var errUnknownVariant = unknownVariantError{}

// Kebab returns a Go name in kebab case, such as "put-contract" for
// "PutContract".
func Kebab(name string) string {
	var sb strings.Builder
	for i, r := range name {
		if i > 0 && unicode.IsUpper(r) {
			sb.WriteByte('-')
		}
		sb.WriteRune(unicode.ToLower(r))
	}
	return sb.String()
}
