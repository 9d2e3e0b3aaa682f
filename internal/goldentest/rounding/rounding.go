// Package rounding tells how the compiler rounds, for tests whose expected values depend on it. Only tests import it.
package rounding

// Fuses reports whether the compiler fuses a multiplication with the addition behind it and rounds once, as the language
// allows (The Go Programming Language Specification, "Floating-point operators"). It does so for some processors.
func Fuses() bool { return remainder(1+0x1p-30) != 0 }

// remainder returns what rounding takes from the square of x: 0 where both products are rounded.
//
//go:noinline
func remainder(x float64) float64 {
	rounded := float64(x * x)
	return x*x - rounded
}
