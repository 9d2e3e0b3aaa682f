// Package snakejson writes values as JSON in one style, for what the command line prints: keys in lower snake case, in the order of a
// struct's fields, and states by their names. What a map names (dispatchers, duties) stays as it is.
package snakejson

import (
	"bytes"
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
	return plain(out, v.Interface())
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
		f := v.Type().Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" || !f.IsExported() {
			continue
		}
		if f.Anonymous && name == "" {
			inner := v.Field(i)
			if inner.Kind() == reflect.Pointer {
				inner = inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				if err := fields(out, inner, first); err != nil {
					return err
				}
			}
			if inner.Kind() == reflect.Struct || !inner.IsValid() {
				continue
			}
		}
		empty := v.Field(i).IsZero() || (v.Field(i).Kind() == reflect.Slice || v.Field(i).Kind() == reflect.Map) && v.Field(i).Len() == 0
		if strings.Contains(options, "omitempty") && v.Field(i).Kind() != reflect.Struct && empty {
			continue
		}
		if !*first {
			out.WriteByte(',')
		}
		*first = false
		if name == "" {
			name = f.Name
		}
		if err := plain(out, Key(name)); err != nil {
			return err
		}
		out.WriteByte(':')
		if err := write(out, v.Field(i), f.Tag.Get("snake") == Names); err != nil {
			return err
		}
	}
	return nil
}
