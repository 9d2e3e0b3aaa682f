// Package snakejson writes values as JSON in one style, for what the command line prints: keys in lower snake case, in the order of a
// struct's fields, and states by their names. What a map names (dispatchers, duties) stays as it is.
package snakejson

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Names marks a field whose map's keys are names of this program's own, and are put in the style as well: `snake:"names"`.
const Names = "names"

// Key puts a Go name in the style: GETsOut is gets_out, MaxAge max_age, HTTPPort http_port.
func Key(name string) string {
	var out []rune
	in := []rune(strings.ReplaceAll(strings.ReplaceAll(name, "GETs", "Gets"), "IDs", "Ids"))
	for i, c := range in {
		begins := i > 0 && unicode.IsUpper(c) && (!unicode.IsUpper(in[i-1]) || i+1 < len(in) && unicode.IsLower(in[i+1]))
		if begins && in[i-1] != '_' {
			out = append(out, '_')
		}
		out = append(out, unicode.ToLower(c))
	}
	return string(out)
}

// Indent writes a value over several lines.
func Indent(v any) ([]byte, error) {
	raw, err := JSON(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return nil, fmt.Errorf("json: %w", err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// JSON writes a value.
func JSON(v any) ([]byte, error) {
	var out bytes.Buffer
	if err := write(&out, reflect.ValueOf(v), false); err != nil {
		return nil, fmt.Errorf("json: %w", err)
	}
	return out.Bytes(), nil
}

var duration, marshaler = reflect.TypeFor[time.Duration](), reflect.TypeFor[json.Marshaler]()

func write(out *bytes.Buffer, v reflect.Value, names bool) error {
	if !v.IsValid() {
		out.WriteString("null")
		return nil
	}
	if (v.CanInt() || v.CanUint()) && v.Type() != duration && v.CanInterface() {
		if s, ok := v.Interface().(fmt.Stringer); ok {
			return plain(out, s.String())
		}
	}
	if v.Type().Implements(marshaler) && (v.Kind() != reflect.Pointer || !v.IsNil()) {
		return plain(out, v.Interface())
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return write(out, v.Elem(), names)
	case reflect.Struct:
		out.WriteByte('{')
		first := true
		err := fields(out, v, &first)
		out.WriteByte('}')
		return err
	case reflect.Map:
		return pairs(out, v, names)
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			return plain(out, v.Bytes())
		}
		return elements(out, v, names)
	}
	return plain(out, v.Interface())
}

// elements writes a slice or an array.
func elements(out *bytes.Buffer, v reflect.Value, names bool) error {
	out.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			out.WriteByte(',')
		}
		if err := write(out, v.Index(i), names); err != nil {
			return err
		}
	}
	out.WriteByte(']')
	return nil
}

func plain(out *bytes.Buffer, v any) error {
	raw, err := json.Marshal(v)
	out.Write(raw)
	return err
}

func pairs(out *bytes.Buffer, v reflect.Value, names bool) error {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	out.WriteByte('{')
	for i, k := range keys {
		if i > 0 {
			out.WriteByte(',')
		}
		key := fmt.Sprint(k)
		if names {
			key = Key(key)
		}
		if err := plain(out, key); err != nil {
			return err
		}
		out.WriteByte(':')
		if err := write(out, v.MapIndex(k), false); err != nil {
			return err
		}
	}
	out.WriteByte('}')
	return nil
}

// fields writes the fields of a struct, those of structs in it that have no name of their own among them.
func fields(out *bytes.Buffer, v reflect.Value, first *bool) error {
	for i := range v.NumField() {
		if err := field(out, v.Type().Field(i), v.Field(i), first); err != nil {
			return err
		}
	}
	return nil
}

// field writes a field of a struct, unless it is one that is left out.
func field(out *bytes.Buffer, f reflect.StructField, v reflect.Value, first *bool) error {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return nil
	}
	if f.Anonymous && name == "" {
		if done, err := embedded(out, v, first); done || err != nil {
			return err
		}
	}
	if strings.Contains(options, "omitempty") && omitted(v) {
		return nil
	}
	if !*first {
		out.WriteByte(',')
	}
	*first = false
	return pair(out, cmp.Or(name, f.Name), v, f.Tag.Get("snake") == Names)
}

// pair writes a field's key and value.
func pair(out *bytes.Buffer, name string, v reflect.Value, names bool) error {
	if err := plain(out, Key(name)); err != nil {
		return err
	}
	out.WriteByte(':')
	return write(out, v, names)
}

// embedded writes the fields of an embedded struct. It is false, and has written nothing, for another type, which is a field like others.
func embedded(out *bytes.Buffer, v reflect.Value, first *bool) (done bool, err error) {
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	if v.Kind() == reflect.Struct {
		return true, fields(out, v, first)
	}
	return !v.IsValid(), nil
}

// omitted tells whether a field that may be left out is: structs never are.
func omitted(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Struct:
		return false
	case reflect.Slice, reflect.Map:
		return v.Len() == 0
	}
	return v.IsZero()
}
