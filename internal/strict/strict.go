package operator

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
)

// faults collects all that is wrong with a file, each with its key and, where it can be told, its line.
type faults struct {
	file string
	tree ast.Node // nil where the file is no Jsonnet
	all  []error
}

func (f *faults) add(path []string, format string, v ...any) {
	where := f.file
	if line := line(f.tree, path); line > 0 {
		where = fmt.Sprintf("%s:%d", f.file, line)
	}
	f.all = append(f.all, fmt.Errorf("%s: %s: %s", where, cmp.Or(strings.Join(path, "."), "the file"), fmt.Sprintf(format, v...)))
}

// each adds every fault that an error joins, a line each.
func (f *faults) each(path []string, err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, one := range joined.Unwrap() {
			f.each(path, one)
		}
		return
	}
	f.add(path, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
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

// evaluate reads a Jsonnet file into plain values, and its tree for the lines of keys.
func evaluate(path, text string) (value any, tree ast.Node, err error) {
	vm := jsonnet.MakeVM()
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

// object is one object of a file, key by key; done tells of those that nobody asked for.
type object struct {
	f     *faults
	path  []string
	has   map[string]any
	asked map[string]bool
}

func (f *faults) object(path []string, v any) *object {
	has, ok := v.(map[string]any)
	if !ok {
		f.add(path, "must be an object, not %s", kind(v))
	}
	return &object{f, path, has, map[string]bool{}}
}

func kind(v any) string {
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

func (o *object) at(key string) []string { return append(slices.Clone(o.path), key) }

func (o *object) fault(key, format string, v ...any) { o.f.add(o.at(key), format, v...) }

// get gives what stands under a key; a null counts as absent.
func (o *object) get(key string) (v any, ok bool) {
	o.asked[key] = true
	v = o.has[key]
	return v, v != nil
}

// done tells of keys that mean nothing here.
func (o *object) done() {
	for _, key := range slices.Sorted(maps.Keys(o.has)) {
		if !o.asked[key] {
			o.fault(key, "unknown key; there are %s", strings.Join(slices.Sorted(maps.Keys(o.asked)), ", "))
		}
	}
}

// read takes a value of a type, or leaves the default where there is none.
func read[T any](o *object, key string, to *T, what string) bool {
	v, ok := o.get(key)
	if !ok {
		return false
	}
	t, ok := v.(T)
	if !ok {
		o.fault(key, "must be %s, not %s", what, kind(v))
		return false
	}
	*to = t
	return true
}

func (o *object) text(key string, to *string) bool { return read(o, key, to, "a string") }
func (o *object) flag(key string, to *bool) bool   { return read(o, key, to, "true or false") }

// inner is an object within; nil where there is none.
func (o *object) inner(key string) *object {
	v, ok := o.get(key)
	if !ok {
		return nil
	}
	return o.f.object(o.at(key), v)
}

// count takes a whole number in a range.
func (o *object) count(key string, to *int, least, most int) {
	var v float64
	if !read(o, key, &v, "a number") {
		return
	}
	if v != math.Trunc(v) || v < float64(least) || v > float64(most) {
		o.fault(key, "%v is no whole number from %d to %d", v, least, most)
		return
	}
	*to = int(v)
}

// number takes a number in a range.
func (o *object) number(key string, to *float64, least, most float64) {
	var v float64
	if !read(o, key, &v, "a number") {
		return
	}
	if v < least || v > most {
		o.fault(key, "%v is not from %v to %v", v, least, most)
		return
	}
	*to = v
}

// duration takes a time with its unit, in seconds.
func (o *object) duration(key string, to *float64, least, most float64) {
	v, ok := o.get(key)
	if !ok {
		return
	}
	text, isText := v.(string)
	if !isText {
		o.fault(key, `must be a time with its unit, such as "250ms", not %s`, kind(v))
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.fault(key, `%q is no time with its unit, such as "250ms"`, text)
		return
	}
	if s := d.Seconds(); s < least || s > most {
		o.fault(key, "%s is not from %gs to %gs", text, least, most)
		return
	}
	*to = d.Seconds()
}

// seconds by which a rate may be told.
var perUnit = map[string]float64{"s": 1, "min": 60, "h": 3600}

// rate takes so many a unit of time, in so many a second.
func (o *object) rate(key string, to *float64, least, most float64) {
	v, ok := o.get(key)
	if !ok {
		return
	}
	text, _ := v.(string)
	number, unit, _ := strings.Cut(text, "/")
	n, err := strconv.ParseFloat(number, 64)
	per := perUnit[unit]
	if err != nil || per == 0 || math.IsNaN(n) {
		o.fault(key, `must be a rate with its unit, such as "200/s", "30/min" or "10/h", not %v`, v)
		return
	}
	if r := n / per; r < least || r > most {
		o.fault(key, "%s is not from %g/s to %g/s", text, least, most)
		return
	}
	*to = n / per
}

// texts takes a list of strings.
func (o *object) texts(key string) (all []string) {
	for i, v := range o.list(key) {
		s, ok := v.(string)
		if !ok {
			o.fault(key, "element %d must be a string, not %s", i, kind(v))
			continue
		}
		all = append(all, s)
	}
	return all
}

func (o *object) list(key string) (all []any) {
	read(o, key, &all, "a list")
	return all
}

// word takes one of some words.
func (o *object) word(key string, to *string, words ...string) {
	var v string
	if o.text(key, &v) {
		if !slices.Contains(words, v) {
			o.fault(key, "%q is none of %s", v, strings.Join(words, ", "))
			return
		}
		*to = v
	}
}

// address takes an address and port to listen at; there is no DNS.
func (o *object) address(key string, to *string) {
	if o.text(key, to) {
		if _, err := netip.ParseAddrPort(*to); err != nil {
			o.fault(key, "%q is no address with a port", *to)
		}
	}
}
