// Package terms checks that code, settings and log lines use the terms of the field. The
// replacements are in docs/glossary.md.
package terms

import (
	"bufio"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// replaced matches the words that the glossary replaces.
var replaced = regexp.MustCompile(`(?i)\b(tells?|telling|told|hears?|heard|hearing|beginnings?|patience|emptied|` +
	`emptying|speaks?|speaking|speakers?|words? of|leaving words?|seldom|taken for|takes? note|is away)\b`)

// allowed holds the uses that stay, by file and a part of the line.
var allowed = map[string][]string{
	// The hash of a duty decides which host has it.
	"internal/member/peer.go": {`"speak"`},
}

// roots are the folders and files that are checked. Generated code and tests are left out.
var roots = []string{"cmd", "internal", "pkg", "platform", "deploy/settings.jsonc", "deploy/system.toml", "docs/codes.md", "docs/settings.md"}

// A newcomer doesn't find a mechanism under its usual name.
func TestReplacedWordsAreGone(t *testing.T) {
	const root = "../.."
	var found []string
	for _, dir := range roots {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !checked(path) {
				return err
			}
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			lines, err := linesWith(path, rel)
			found = append(found, lines...)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]string(nil), found); diff != "" {
		t.Errorf("words that docs/glossary.md replaces (-want +got):\n%s", diff)
	}
}

func checked(path string) bool {
	if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") || strings.Contains(path, "testdata") {
		return false
	}
	return slices.Contains([]string{".go", ".proto", ".jsonc", ".toml", ".md"}, filepath.Ext(path))
}

func linesWith(path, rel string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var found []string
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		line := sc.Text()
		if !replaced.MatchString(line) || slices.ContainsFunc(allowed[rel], func(s string) bool { return strings.Contains(line, s) }) {
			continue
		}
		found = append(found, fmt.Sprintf("%s:%d: %s", rel, n, strings.TrimSpace(line)))
	}
	return found, sc.Err()
}
