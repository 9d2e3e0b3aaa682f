package goldentest

import (
	"fmt"
	"reflect"
)

const (
	elementsPerList = 2
	deepestFill     = 8   // levels of pointers, lists and maps; a type that contains itself ends there
	smallNumbers    = 100 // numbers of one byte stay below it, so that they fit signed and unsigned ones
)

// Fill sets each exported field below the target of a pointer to a value of its own that is not zero, and always to
// the same one: numbers count up, lists have two elements, maps one. A field that is added, left out or moved shows
// in what is encoded of it. Interfaces, functions and channels stay as they are.
func Fill(target any) {
	f := filler{}
	f.fill(reflect.ValueOf(target).Elem(), 0)
}

// filler counts the values that were given out.
type filler struct{ given int64 }

func (f *filler) next() int64 {
	f.given++
	return f.given
}

func (f *filler) fill(v reflect.Value, depth int) {
	switch {
	case depth > deepestFill:
		return
	case v.CanInt():
		v.SetInt(fitting(f.next(), v.Type().Size()))
	case v.CanUint():
		v.SetUint(uint64(fitting(f.next(), v.Type().Size())))
	case v.CanFloat():
		v.SetFloat(float64(f.next()) + 0.5)
	default:
		f.fillOther(v, depth)
	}
}

func fitting(n int64, size uintptr) int64 {
	if size == 1 {
		return n % smallNumbers
	}
	return n
}

func (f *filler) fillOther(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.next()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), elementsPerList, elementsPerList))
		f.fillElements(v, depth)
	case reflect.Array:
		f.fillElements(v, depth)
	case reflect.Map:
		f.fillMap(v, depth)
	case reflect.Struct:
		f.fillStruct(v, depth)
	}
}

func (f *filler) fillElements(v reflect.Value, depth int) {
	for i := range v.Len() {
		f.fill(v.Index(i), depth+1)
	}
}

func (f *filler) fillMap(v reflect.Value, depth int) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(value, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillStruct(v reflect.Value, depth int) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(v.Field(i), depth)
		}
	}
}
