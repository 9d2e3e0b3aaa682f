// Package table prints rows of cells in aligned columns.
package table

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// AlignRight has the cells of a table end, rather than begin, at the same place of a line.
const AlignRight = tabwriter.AlignRight

// Writer aligns the tab-terminated cells of the rows that it is given. It keeps the first error of writing, after
// which it writes nothing more.
type Writer struct {
	columns *tabwriter.Writer
	err     error
}

// New returns a Writer to an output, with so many spaces between columns; flags is AlignRight or 0.
func New(to io.Writer, padding int, flags uint) *Writer {
	return &Writer{columns: tabwriter.NewWriter(to, 0, 0, padding, ' ', flags)}
}

// Printf adds formatted text: a row, or part of one. Its errors are those of Flush.
func (w *Writer) Printf(format string, values ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.columns, format, values...)
	}
}

// Println adds a row, whose cells hold their tabs already. Its errors are those of Flush.
func (w *Writer) Println(row string) {
	if w.err == nil {
		_, w.err = fmt.Fprintln(w.columns, row)
	}
}

// Flush writes what is still held, and returns the first error of all that was written.
func (w *Writer) Flush() error {
	if w.err == nil {
		w.err = w.columns.Flush()
	}
	return w.err
}
