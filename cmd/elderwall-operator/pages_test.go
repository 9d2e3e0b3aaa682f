package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/load"
	"elderwall/internal/operator"
	"elderwall/internal/scenario"
	"elderwall/internal/service"
	"elderwall/internal/standin/need"
)

var (
	spanPattern    = regexp.MustCompile("`([^`\n]+)`")
	callPattern    = regexp.MustCompile(`(?:^|[\s(])(?:bin/)?elderwall((?: [^&|>()#;]*)?)(?:$|[&|>()#;])`)
	innerCall      = regexp.MustCompile(`^(?:check|emulate|farm|fleet|keys|load|serve|token) (?:[a-z-]|[A-Z]+$)`)
	wordPattern    = regexp.MustCompile(`'[^']*'|[^\s\[\]]+`)
	variable       = regexp.MustCompile(`\b([A-Z]+_[A-Z]+)=(\S+)`)
	variables      = []string{"PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "ELDERWALL_OPERATOR"}
	goRunPattern   = regexp.MustCompile(`go run \./(\S+)((?: -[a-z]+ [^\s]+)*)`)
	placeholder    = regexp.MustCompile(`^[A-Z]+$`)
	keyTable       = regexp.MustCompile("^\\| key( of a scenario)?(?: under `([^`]+)`)? \\|")
	wholeConfig    = regexp.MustCompile(`^(?:\{\n|\{ ?\w+: |\w+: \{)`)
	repositoryFile = regexp.MustCompile(`^(?:examples|deploy|docs)/`)
	linkPattern    = regexp.MustCompile(`\]\(([\w./-]+)\)`)
	folderPattern  = regexp.MustCompile(`^[a-z][\w-]*(?:/[\w-]+)*/$`)
)

// checker goes through pages as a new user would, in a copy of what the repository has for users.
type checker struct {
	root   string // of the repository
	flags  map[string]bool
	faults []string
}

func newChecker(t *testing.T) *checker {
	c := &checker{root: need.Of(filepath.Abs("../.."))(t), flags: map[string]bool{}}
	t.Chdir(t.TempDir())
	for _, folder := range []string{"examples", "deploy", "docs"} {
		require.NoError(t, os.CopyFS(folder, os.DirFS(filepath.Join(c.root, folder))))
	}
	var walk func(*kong.Node)
	walk = func(n *kong.Node) {
		told := n.Help
		for _, f := range n.Flags {
			c.flags[f.Name] = true
			told += " " + f.Help
		}
		for _, p := range n.Positional {
			told += " " + p.Help
		}
		for _, word := range strings.FieldsFunc(told, func(r rune) bool { return strings.ContainsRune(" ;,", r) }) {
			c.file("help of "+n.FullPath(), word)
		}
		for _, inner := range n.Children {
			walk(inner)
		}
	}
	walk(need.Of(kong.New(&commands{}, kong.Name("elderwall")))(t).Model.Node)
	return c
}

func (c *checker) fault(page, format string, v ...any) {
	c.faults = append(c.faults, page+": "+fmt.Sprintf(format, v...))
}

// file takes a name: what is of the repository must be there, what else is a file is the reader's own.
func (c *checker) file(page, word string) {
	word = strings.Trim(word, `"'.`)
	if _, err := os.Stat(word); err != nil && repositoryFile.MatchString(word) {
		c.fault(page, "%s is not there", word)
	} else if err != nil && filepath.IsLocal(word) && !strings.ContainsAny(word, "/ =:") {
		_ = os.WriteFile(word, nil, 0o600)
	}
}

// call takes a command line, without the program; one within a text may leave out what is needed.
func (c *checker) call(page, line string, whole bool) {
	words := wordPattern.FindAllString(strings.NewReplacer("…", "", "...", "").Replace(line), -1)
	for i, w := range words {
		if words[i] = strings.Trim(w, "'"); placeholder.MatchString(w) {
			words[i] = "1"
		}
		if strings.Contains(line, "keys new") && repositoryFile.MatchString(w) {
			_ = os.WriteFile(w, nil, 0o600) // made by it
		}
		c.file(page, words[i])
	}
	parser, err := kong.New(&commands{}, kong.Exit(func(int) {}))
	if err == nil {
		_, err = parser.Parse(words)
	}
	if err != nil && (whole || !strings.HasPrefix(err.Error(), "missing flags") && !strings.HasPrefix(err.Error(), "expected ")) {
		c.fault(page, "elderwall %s: %v", line, err)
	}
}

// shell takes a line of a block of commands.
func (c *checker) shell(page, line string) {
	for _, v := range variable.FindAllStringSubmatch(line, -1) {
		if c.file(page, v[2]); !slices.Contains(variables, v[1]) {
			c.fault(page, "no variable is called %s", v[1])
		}
	}
	for _, m := range callPattern.FindAllStringSubmatch(line, -1) {
		c.call(page, m[1], true)
	}
	for _, m := range goRunPattern.FindAllStringSubmatch(line, -1) {
		text, err := os.ReadFile(filepath.Join(m[1], "main.go"))
		for _, flag := range regexp.MustCompile(` -(\w+)`).FindAllStringSubmatch(m[2], -1) {
			if !strings.Contains(string(text), `("`+flag[1]+`"`) {
				c.fault(page, "%s has no flag %s", m[1], flag[1])
			}
		}
		if err != nil {
			c.fault(page, "%v", err)
		}
	}
}

// known gives the fault of a file with nothing but one key, if it knows no such key, and the keys that it knows in its place.
func known(path string, ofScenario bool) (fault string, keys []string) {
	var v any
	for parts := strings.Split(path, "."); len(parts) > 0; parts = parts[:len(parts)-1] {
		v = map[string]any{parts[len(parts)-1]: v}
	}
	text, _ := json.Marshal(v)
	if _, err := scenario.Decode("f", string(text)); ofScenario && err != nil {
		fault = err.Error()
	}
	if !ofScenario {
		_ = os.WriteFile("probe.jsonnet", text, 0o600)
		if _, err := operator.Load("probe.jsonnet", nil); err != nil {
			fault = err.Error()
		}
	}
	for line := range strings.Lines(fault) {
		if _, list, ok := strings.Cut(line, "unknown key; there are "); ok {
			return strings.TrimSpace(line), strings.Split(strings.TrimSpace(list), ", ")
		}
	}
	return "", nil
}

// page takes one: its blocks of commands and of configuration, its tables of keys, and what its text names.
func (c *checker) page(name, text string) {
	for block := range strings.SplitSeq(text, "\n\n") {
		lines := strings.Split(strings.Trim(block, "\n"), "\n")
		if m := keyTable.FindStringSubmatch(lines[0]); m != nil {
			ofScenario, top := m[1] != "", strings.TrimPrefix(m[2]+".", ".")
			within, places := top, map[string]bool{top: true} // where its keys stand
			for _, row := range lines[2:] {
				for _, m := range spanPattern.FindAllStringSubmatch(strings.Split(row, " | ")[0], -1) {
					cut := strings.LastIndex(m[1], ".") + 1
					if cut != 1 { // else it is beside the one before
						within = top + m[1][:cut]
						places[within] = true
					}
					if fault, _ := known(within+m[1][cut:], ofScenario); fault != "" {
						c.fault(name, "%s", fault)
					}
				}
			}
			for place := range places {
				if place == "" && !ofScenario && filepath.Base(name) != "README.md" {
					continue // the index alone tells of all that a file may have
				}
				_, keys := known(place+"nothing", ofScenario)
				for _, k := range keys {
					if !regexp.MustCompile("[`.]" + k + "[`.]").MatchString(text) {
						c.fault(name, "it does not tell of %s%s", place, k)
					}
				}
			}
		}
		if !strings.HasPrefix(lines[0], "    ") {
			continue
		}
		for i := range lines {
			lines[i] = strings.TrimPrefix(lines[i], "    ")
		}
		code := strings.Join(lines, "\n")
		if !wholeConfig.MatchString(code) {
			for _, line := range lines {
				c.shell(name, line)
			}
			continue
		}
		if !strings.HasPrefix(code, "{") {
			code = "{" + code + "}"
		}
		_ = os.WriteFile("shown.jsonnet", []byte(strings.ReplaceAll(code, "[...]", "['127.0.0.1:5101']")), 0o600)
		if _, err := operator.Load("shown.jsonnet", nil); err != nil {
			c.fault(name, "%v", err)
		}
	}
	note := filepath.Dir(name) == "docs" // of the design: it may name flags of what it was measured by
	for line := range strings.Lines(text) {
		for i, m := range spanPattern.FindAllStringSubmatch(line, -1) {
			span, flag := m[1], strings.TrimPrefix(strings.Fields(m[1])[0], "--")
			switch call := callPattern.FindStringSubmatch(span); {
			case strings.HasPrefix(span, "--") && flag != "" && !c.flags[flag] && !note:
				c.fault(name, "no command has a flag --%s", flag)
			case call != nil && call[0] == span && call[1] != "":
				c.call(name, call[1], false)
			case innerCall.MatchString(span) && (i != 0 || !strings.HasPrefix(line, "| ")): // there it is a line of the log
				c.call(name, span, false)
			case strings.HasSuffix(span, ".md") || strings.HasSuffix(span, ".jsonnet") || strings.HasSuffix(span, ".go") && strings.Contains(span, "/"):
				c.named(name, span)
			case folderPattern.MatchString(span) && name == "README.md":
				c.named(name, span)
			}
		}
		for _, m := range linkPattern.FindAllStringSubmatch(line, -1) {
			c.named(name, m[1])
		}
	}
}

// named takes a page, an example or a folder that a text names, from the page's own place or from the usual ones on.
func (c *checker) named(page, span string) {
	for _, from := range []string{filepath.Dir(page), "", "docs", "docs/operators", "examples/fleets"} {
		if _, err := os.Stat(filepath.Join(c.root, from, span)); err == nil {
			return
		}
	}
	if _, err := os.Stat(span); err != nil { // shown by a page
		c.fault(page, "%s is not there", span)
	}
}

// Each example can be read from anywhere, also where it imports another that stands beside it.
func TestPagesAndExamplesAreTrue(t *testing.T) {
	c := newChecker(t)
	require.NoError(t, os.WriteFile("fleet.key", []byte(need.Of(command(t, "fleet", "key"))(t)), 0o600))
	need.Of(command(t, "keys", "new", "k1", "--set", "examples/keys.json", "--private", "examples/k1.jwk"))(t)
	t.Setenv("PROXY_CONFIG", "examples/config.json")
	services := need.Of(service.ReadConfig(os.Getenv))(t).Services()
	plans := []string{"examples/cores.jsonnet", "examples/division.jsonnet"}
	examples := append(need.Of(filepath.Glob("*/*.jsonnet"))(t), need.Of(filepath.Glob("*/*/*.jsonnet"))(t)...)
	for _, f := range examples {
		var err error
		switch {
		case strings.HasPrefix(f, "examples/fleets/"):
			_, err = scenario.Read(f)
		case slices.Contains(plans, f):
			_, err = load.Read(f)
		default:
			_, err = operator.Load(f, services)
		}
		assert.NoError(t, err, f)
	}
	pages := append(need.Of(filepath.Glob("docs/*.md"))(t), need.Of(filepath.Glob("docs/operators/*.md"))(t)...)
	require.True(t, len(pages) > 20 && len(examples) > 10)
	for _, p := range append(append(pages, examples...), "README.md") {
		if p != "docs/design-history.md" { // of its time
			c.page(p, string(need.Of(os.ReadFile(filepath.Join(c.root, p)))(t)))
		}
	}
	assert.Empty(t, c.faults, strings.Join(c.faults, "\n"))

	for text, want := range map[string]string{
		"    elderwall fleet members --at 1 --kye f":             "unknown flag --kye",
		"    elderwall fleet member --at 1":                      "unexpected argument member",
		"    elderwall fleet members":                            "missing flags: --at",
		"    bin/elderwall emulate examples/fleets/none.jsonnet": "examples/fleets/none.jsonnet is not there",
		"    PROXY_CONF=f elderwall":                             "no variable is called PROXY_CONF",
		"    go run ./examples/fetch -objekt 1":                  "has no flag objekt",
		"    { fleet: { listen: '127.0.0.1:1', pees: [] } }":     "fleet.pees: unknown key",
		"see `none.md`": "none.md is not there", "[a](none.md)": "none.md is not there", "by `--kye`": "no command has a flag --kye", "`fleet membre`": "unexpected argument membre",
		"| key under `fleet` |\n| --- |\n| `pees` | a |": "fleet.pees: unknown key",
		"| key of a scenario |\n| --- |\n| `sead` | a |": "sead: unknown key",
		"| key under `fleet.memory` |\n| --- |":          "it does not tell of fleet.memory.folder",
	} {
		c.faults = nil
		c.page("f", text)
		assert.Contains(t, strings.Join(c.faults, "\n"), want, text)
	}
}
