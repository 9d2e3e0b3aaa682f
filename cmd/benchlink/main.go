// Command benchlink links the decision module to the bench wire: batches on standard input, replies on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers each line of input with one reply, until the input ends.
func run(in io.Reader, out, report io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	l := newLink(report)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			if _, err := out.Write(l.batch(line)); err != nil {
				return fmt.Errorf("write a reply: %w", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read a batch: %w", err)
		}
	}
}
