package rules

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// root is the directory of the module.
var root = filepath.Join("..", "..")

// rule is a rule of a package and the edit that takes it out.
type rule struct {
	name string
	// pkg is the directory of the package below internal, and file the edited file in it.
	pkg, file string
	// text states what the rule promises.
	text string
	// before and after are the lines of the file that are replaced, and those that replace
	// them. White space around a line does not count.
	before, after []string
}

// path returns the path of the edited file.
func (r rule) path() string { return filepath.Join(root, "internal", r.pkg, r.file) }

// edit returns the source without the rule, and the function or declaration that holds it.
func (r rule) edit(source string) (edited, place string, err error) {
	lines := strings.Split(source, "\n")
	at := -1
	for i := 0; i+len(r.before) <= len(lines); i++ {
		if !slices.EqualFunc(lines[i:i+len(r.before)], r.before, sameLine) {
			continue
		}
		if at >= 0 {
			return "", "", fmt.Errorf("lines %d and %d of %s match, want one place", at+1, i+1, r.file)
		}
		at = i
	}
	if at < 0 {
		return "", "", fmt.Errorf("no place in %s matches", r.file)
	}
	place = placeOf(lines[:at+len(r.before)], r.before)
	return strings.Join(slices.Concat(lines[:at], r.after, lines[at+len(r.before):]), "\n"), place, nil
}

func sameLine(a, b string) bool { return strings.TrimSpace(a) == strings.TrimSpace(b) }

var (
	funcLine  = regexp.MustCompile(`^func (?:\([^)]*\) )?(\w+)`)
	constLine = regexp.MustCompile(`^\s*(?:const |var )?(\w+)[^=]* = `)
	blockLine = regexp.MustCompile(`^(const|var|type) `)
)

// placeOf returns the name of the last function or constant that begins in lines.
func placeOf(lines, before []string) string {
	for _, line := range slices.Backward(lines) {
		if m := funcLine.FindStringSubmatch(line); m != nil {
			return m[1]
		}
		if blockLine.MatchString(line) {
			break
		}
	}
	for _, line := range slices.Backward(before) {
		if m := constLine.FindStringSubmatch(line); m != nil {
			return m[1]
		}
	}
	return ""
}

// packages returns the packages that have a list.
func packages() ([]string, error) {
	files, err := filepath.Glob("testdata/*.txt")
	for i, file := range files {
		files[i] = strings.TrimSuffix(filepath.Base(file), ".txt")
	}
	return files, err
}

// load reads the list of a package. An entry begins with a line "name file", followed by
// the rule after a colon and the edit: "-" takes a line out, "+" puts one in, and a line
// after a space stays. An empty line ends it.
func load(pkg string) ([]rule, error) {
	file, err := os.Open(filepath.Join("testdata", pkg+".txt"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var list []rule
	open := false
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		if strings.TrimSpace(line) == "" {
			open = false
			continue
		}
		if !open {
			name, file, ok := strings.Cut(line, " ")
			if !ok {
				return nil, fmt.Errorf("%s.txt:%d: want a name and a file", pkg, n)
			}
			list = append(list, rule{name: name, pkg: pkg, file: file})
			open = true
			continue
		}
		r := &list[len(list)-1]
		switch rest := line[1:]; line[0] {
		case ':':
			r.text = strings.TrimSpace(rest)
		case '-':
			r.before = append(r.before, rest)
		case '+':
			r.after = append(r.after, rest)
		case ' ':
			r.before, r.after = append(r.before, rest), append(r.after, rest)
		default:
			return nil, fmt.Errorf("%s.txt:%d: unknown line", pkg, n)
		}
	}
	return list, lines.Err()
}
