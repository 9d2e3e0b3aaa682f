// Package goldentest compares what a test produced with a golden file under the package's testdata/.
// `go test PACKAGE -run Golden -update` writes a package's golden files anew. Only tests import it.
package goldentest

import (
	"bytes"
	"encoding"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files under testdata/ anew")

const (
	filePermissions   = 0o644
	folderPermissions = 0o755
	bytesPerLine      = 64
)

// Check compares the content with testdata/name of the package under test, or writes that file if -update is given.
func Check(t *testing.T, name string, content []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, content)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	if !bytes.Equal(want, content) {
		t.Errorf("%s differs at %s", path, firstDifference(string(want), string(content)))
	}
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), folderPermissions); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, filePermissions); err != nil {
		t.Fatal(err)
	}
}

// firstDifference describes the first line at which two texts differ.
func firstDifference(want, got string) string {
	wantLines := strings.Split(want, "\n")
	gotLines := strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		wantLine, gotLine := lineAt(wantLines, i), lineAt(gotLines, i)
		if wantLine != gotLine {
			return fmt.Sprintf("line %d:\nwant %s\ngot  %s", i+1, wantLine, gotLine)
		}
	}
	return "no line"
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end of file)"
}

// Transcript gathers named cases as text for one golden file. The zero value is empty.
type Transcript struct{ text bytes.Buffer }

// Bytes adds a case whose result is bytes, as quoted text.
func (tr *Transcript) Bytes(name string, content []byte) {
	fmt.Fprintf(&tr.text, "== %s (%d bytes)\n", name, len(content))
	for piece := range slices.Chunk(content, bytesPerLine) {
		fmt.Fprintf(&tr.text, "%q\n", piece)
	}
}

// Values adds a case whose result is values, each by Dump.
func (tr *Transcript) Values(name string, values ...any) {
	fmt.Fprintf(&tr.text, "== %s\n", name)
	for _, value := range values {
		tr.text.WriteString(Dump(value))
	}
}

// Rejected adds whether a case ended with an error. The text of an error is left out: it is no part of a format.
func (tr *Transcript) Rejected(err error) {
	fmt.Fprintf(&tr.text, "rejected: %v\n", err != nil)
}

// Check compares the transcript with testdata/name.
func (tr *Transcript) Check(t *testing.T, name string) {
	t.Helper()
	Check(t, name, tr.text.Bytes())
}

// Dump writes the exported content of a value as text, one leaf a line. Exported fields of structs go by their place
// and not by their name, so that the renaming of a field changes no golden file, and the exchange of two fields does.
func Dump(value any) string {
	var out strings.Builder
	dump(&out, ".", reflect.ValueOf(value))
	return out.String()
}

func dump(out *strings.Builder, path string, v reflect.Value) {
	if !v.IsValid() {
		leaf(out, path, "nil")
		return
	}
	if text, ok := marshaled(v); ok {
		leaf(out, path, strconv.Quote(text))
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		dump(out, path, v.Elem())
	case reflect.Struct:
		dumpStruct(out, path, v)
	case reflect.Map:
		dumpMap(out, path, v)
	case reflect.Slice, reflect.Array:
		dumpList(out, path, v)
	case reflect.String:
		leaf(out, path, strconv.Quote(v.String()))
	case reflect.Float32, reflect.Float64:
		leaf(out, path, strconv.FormatFloat(v.Float(), 'g', -1, 64))
	case reflect.Func, reflect.Chan:
		leaf(out, path, fmt.Sprintf("%s, nil: %v", v.Kind(), v.IsNil()))
	default:
		leaf(out, path, plain(v))
	}
}

// marshaled is the text of values that keep their content in unexported fields, such as addresses and patterns.
func marshaled(v reflect.Value) (string, bool) {
	held := v.Kind() == reflect.Struct || v.Kind() == reflect.Pointer && !v.IsNil()
	if !held || !v.CanInterface() {
		return "", false
	}
	marshaler, ok := v.Interface().(encoding.TextMarshaler)
	if !ok {
		return "", false
	}
	text, err := marshaler.MarshalText()
	return string(text), err == nil
}

// plain is a number or a truth value, without the text that a named type gives it.
func plain(v reflect.Value) string {
	switch {
	case v.CanInt():
		return strconv.FormatInt(v.Int(), 10)
	case v.CanUint():
		return strconv.FormatUint(v.Uint(), 10)
	case v.Kind() == reflect.Bool:
		return strconv.FormatBool(v.Bool())
	}
	return v.Kind().String()
}

func dumpStruct(out *strings.Builder, path string, v reflect.Value) {
	place := 0
	for i := range v.NumField() {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		dump(out, fmt.Sprintf("%s%d.", path, place), v.Field(i))
		place++
	}
}

func dumpMap(out *strings.Builder, path string, v reflect.Value) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		return strings.Compare(Dump(a.Interface()), Dump(b.Interface()))
	})
	leaf(out, path, fmt.Sprintf("map of %d", len(keys)))
	for _, key := range keys {
		name := strings.TrimSpace(strings.ReplaceAll(Dump(key.Interface()), "\n", " "))
		dump(out, fmt.Sprintf("%s[%s].", path, name), v.MapIndex(key))
	}
}

func dumpList(out *strings.Builder, path string, v reflect.Value) {
	if v.Kind() == reflect.Slice && v.IsNil() {
		leaf(out, path, "nil list")
		return
	}
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		leaf(out, path, strconv.Quote(string(v.Bytes())))
		return
	}
	leaf(out, path, fmt.Sprintf("list of %d", v.Len()))
	for i := range v.Len() {
		dump(out, fmt.Sprintf("%s[%d].", path, i), v.Index(i))
	}
}

func leaf(out *strings.Builder, path, text string) {
	fmt.Fprintf(out, "%s = %s\n", path, text)
}

// Store writes testdata/name if -update is given and the file is not there yet. It is for what an earlier version of the
// code wrote and every later one has to read; whoever wants it written anew removes the file.
func Store(t *testing.T, name string, content func() []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if _, err := os.Stat(path); *update && errors.Is(err, fs.ErrNotExist) {
		write(t, path, content())
	}
}
