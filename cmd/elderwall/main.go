// Command elderwall is one dispatcher on sockets. With an operator's own file, or with any other command, it becomes
// elderwall-operator, which stands beside it: the libraries for those would cost the dispatcher alone memory that it
// has no use for.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"elderwall/internal/service"
)

func main() {
	var err error
	if len(os.Args) == 1 && os.Getenv("ELDERWALL_OPERATOR") == "" {
		err = service.Serve(nil)
	} else {
		err = become("elderwall-operator")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "elderwall:", err)
		os.Exit(1)
	}
}

// become goes on as another program, under the same process id and so with the same signals.
func become(name string) error {
	own, err := os.Executable()
	if err != nil {
		return fmt.Errorf("become %s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(own), name)
	err = syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ())
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("commands and operators' files need the program %s beside this one: go build -o %s ./cmd/%s", name, path, name)
	}
	return fmt.Errorf("%s: %w", path, err)
}
