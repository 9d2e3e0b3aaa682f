// Package configfile decodes Jsonnet files of ours: an unknown key, a missing unit or a value out of range is a fault, told with
// its key and, where the file spells it out, its line. All faults come at once.
package configfile

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// Faults collects all that is wrong with a file, each with its key and, where it can be told, its line.
type Faults struct {
	File string
	tree ast.Node // nil where the file is no Jsonnet
	All  []error
}

// Add adds a fault of what stands at a path of keys, with its line where it has one.
func (f *Faults) Add(path []string, format string, v ...any) {
	where := f.File
	if line := line(f.tree, path); line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, line)
	}
	f.All = append(f.All, fmt.Errorf("%s: %s: %s", where, cmp.Or(strings.Join(path, "."), "the file"), fmt.Sprintf(format, v...)))
}

// Each adds every fault that an error joins, a line each.
func (f *Faults) Each(path []string, err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, one := range joined.Unwrap() {
			f.Each(path, one)
		}
		return
	}
	f.Add(path, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
}

// line is where a key stands, as far down as the file spells it out in plain objects; 0 if nowhere.
func line(n ast.Node, path []string) int {
	at := 0
	for _, key := range path {
		for {
			local, ok := n.(*ast.Local)
			if !ok {
				break
			}
			n = local.Body
		}
		object, ok := n.(*ast.DesugaredObject)
		if !ok {
			return at
		}
		i := slices.IndexFunc(object.Fields, func(f ast.DesugaredObjectField) bool {
			name, ok := f.Name.(*ast.LiteralString)
			return ok && name.Value == key
		})
		if i < 0 {
			return at
		}
		n, at = object.Fields[i].Body, object.Fields[i].LocRange.Begin.Line
	}
	return at
}

// Open evaluates a Jsonnet file, whose top must be an object.
func Open(path, text string) (*Object, *Faults, error) {
	value, tree, err := evaluate(path, text)
	if err != nil {
		return nil, nil, err
	}
	f := &Faults{File: path, tree: tree}
	return f.Object(nil, value), f, nil
}

// Keys are the names under which something stands.
func (o *Object) Keys() []string { return slices.Sorted(maps.Keys(o.has)) }

// Element is an object in a list under a key.
func (o *Object) Element(key string, i int, v any) *Object {
	return o.f.Object(o.At(fmt.Sprintf("%s[%d]", key, i)), v)
}

// Size takes a number of bytes with its unit.
func (o *Object) Size(key string, to *int64, least, most int64) {
	v, ok := o.Get(key)
	if !ok {
		return
	}
	text, _ := v.(string)
	n, err := humanize.ParseBytes(text)
	if _, bare := strconv.ParseFloat(text, 64); err != nil || bare == nil {
		o.Fault(key, `must be a size with its unit, such as "64MiB", not %v`, v)
		return
	}
	if n < uint64(least) || n > uint64(most) {
		o.Fault(key, "%s is not from %d to %d bytes", text, least, most)
		return
	}
	*to = int64(n)
}

// evaluate reads a Jsonnet file into plain values, and its tree for the lines of keys.
func evaluate(path, text string) (value any, tree ast.Node, err error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(path)}}) // a file's own folder, wherever we stand
	out, err := vm.EvaluateAnonymousSnippet(path, text)
	if err != nil {
		return nil, nil, errors.New(strings.TrimSpace(err.Error()))
	}
	tree, err = jsonnet.SnippetToAST(path, text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if err = json.Unmarshal([]byte(out), &value); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return value, tree, nil
}

// Object is one object of a file, key by key; Done tells of those that nobody asked for.
type Object struct {
	f     *Faults
	path  []string
	has   map[string]any
	asked map[string]bool
}

// Object takes a value that must be an object.
func (f *Faults) Object(path []string, v any) *Object {
	has, ok := v.(map[string]any)
	if !ok {
		f.Add(path, "must be an object, not %s", Kind(v))
	}
	return &Object{f, path, has, map[string]bool{}}
}

// Kind names the kind of a value.
func Kind(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case string:
		return "a string"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	}
	return "an object"
}

// At is the path of a key.
func (o *Object) At(key string) []string { return append(slices.Clone(o.path), key) }

// Fault adds one of a key.
func (o *Object) Fault(key, format string, v ...any) { o.f.Add(o.At(key), format, v...) }

// Get gives what stands under a key; a null counts as absent.
func (o *Object) Get(key string) (v any, ok bool) {
	o.asked[key] = true
	v = o.has[key]
	return v, v != nil
}

// Done tells of keys that mean nothing here.
func (o *Object) Done() {
	for _, key := range slices.Sorted(maps.Keys(o.has)) {
		if !o.asked[key] {
			o.Fault(key, "unknown key; there are %s", strings.Join(slices.Sorted(maps.Keys(o.asked)), ", "))
		}
	}
}

// take takes a value of a type, or leaves the default where there is none.
func take[T any](o *Object, key string, to *T, what string) bool {
	v, ok := o.Get(key)
	if !ok {
		return false
	}
	t, ok := v.(T)
	if !ok {
		o.Fault(key, "must be %s, not %s", what, Kind(v))
		return false
	}
	*to = t
	return true
}

// Text takes a string.
func (o *Object) Text(key string, to *string) bool { return take(o, key, to, "a string") }

// Flag takes true or false.
func (o *Object) Flag(key string, to *bool) bool { return take(o, key, to, "true or false") }

// Inner is an object within; nil where there is none.
func (o *Object) Inner(key string) *Object {
	v, ok := o.Get(key)
	if !ok {
		return nil
	}
	return o.f.Object(o.At(key), v)
}

// Count takes a whole number in a range.
func (o *Object) Count(key string, to *int, least, most int) {
	var v float64
	if !take(o, key, &v, "a number") {
		return
	}
	if v != math.Trunc(v) || v < float64(least) || v > float64(most) {
		o.Fault(key, "%v is no whole number from %d to %d", v, least, most)
		return
	}
	*to = int(v)
}

// Number takes a number in a range.
func (o *Object) Number(key string, to *float64, least, most float64) {
	var v float64
	if !take(o, key, &v, "a number") {
		return
	}
	if v < least || v > most {
		o.Fault(key, "%v is not from %v to %v", v, least, most)
		return
	}
	*to = v
}

// Duration takes a time with its unit, in seconds.
func (o *Object) Duration(key string, to *float64, least, most float64) {
	v, ok := o.Get(key)
	if !ok {
		return
	}
	text, isText := v.(string)
	if !isText {
		o.Fault(key, `must be a time with its unit, such as "250ms", not %s`, Kind(v))
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.Fault(key, `%q is no time with its unit, such as "250ms"`, text)
		return
	}
	if s := d.Seconds(); s < least || s > most {
		o.Fault(key, "%s is not from %gs to %gs", text, least, most)
		return
	}
	*to = d.Seconds()
}

// seconds by which a rate may be told.
var perUnit = map[string]float64{"s": 1, "min": 60, "h": 3600}

// Rate takes so many a unit of time, in so many a second.
func (o *Object) Rate(key string, to *float64, least, most float64) {
	v, ok := o.Get(key)
	if !ok {
		return
	}
	text, _ := v.(string)
	number, unit, _ := strings.Cut(text, "/")
	n, err := strconv.ParseFloat(number, 64)
	per := perUnit[unit]
	if err != nil || per == 0 || math.IsNaN(n) {
		o.Fault(key, `must be a rate with its unit, such as "200/s", "30/min" or "10/h", not %v`, v)
		return
	}
	if r := n / per; r < least || r > most {
		o.Fault(key, "%s is not from %g/s to %g/s", text, least, most)
		return
	}
	*to = n / per
}

// Texts takes a list of strings.
func (o *Object) Texts(key string) (all []string) {
	for i, v := range o.List(key) {
		s, ok := v.(string)
		if !ok {
			o.Fault(key, "element %d must be a string, not %s", i, Kind(v))
			continue
		}
		all = append(all, s)
	}
	return all
}

// Pairs takes an object of strings.
func (o *Object) Pairs(key string) map[string]string {
	in := o.Inner(key)
	if in == nil {
		return nil
	}
	all := map[string]string{}
	for _, k := range in.Keys() {
		var v string
		if in.Text(k, &v) {
			all[k] = v
		}
	}
	return all
}

// List takes a list.
func (o *Object) List(key string) (all []any) {
	take(o, key, &all, "a list")
	return all
}

// Word takes one of some words.
func (o *Object) Word(key string, to *string, words ...string) {
	var v string
	if o.Text(key, &v) {
		if !slices.Contains(words, v) {
			o.Fault(key, "%q is none of %s", v, strings.Join(words, ", "))
			return
		}
		*to = v
	}
}

// Address takes an address and port to listen at; there is no DNS.
func (o *Object) Address(key string, to *string) {
	if o.Text(key, to) {
		if _, err := netip.ParseAddrPort(*to); err != nil {
			o.Fault(key, "%q is no address with a port", *to)
		}
	}
}
