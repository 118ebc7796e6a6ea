// Package terms checks that source files, settings and reference pages use the usual technical
// terms. docs/glossary.md lists the replaced words with their replacements.
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

// replaced matches the words that technical terms have replaced.
var replaced = regexp.MustCompile(`(?i)\b(tells?|telling|told|hears?|heard|hearing|beginnings?|patience|emptied|` +
	`emptying|speaks?|speaking|speakers?|words? of|leaving words?|seldom|taken for|takes? note|is away|` +
	`agendas?|appointments?|lately|of late|abroad|to and fro|given on|knocks?|run of a host|a link stands)\b`)

// allowed lists permitted uses as substrings of a line, by file.
var allowed = map[string][]string{
	// The name of a duty is hashed to select the host that performs it, so the name can't change.
	"internal/member/peer.go": {`"speak"`},
}

// roots are the checked folders and files.
var roots = []string{"cmd", "internal", "pkg", "platform", "deploy/settings.jsonc", "deploy/system.toml", "docs/codes.md", "docs/settings.md"}

// Replaced words must not come back, so that readers find each mechanism under its usual name.
func TestReplacedWordsAreGone(t *testing.T) {
	const root = "../.."
	var found []string
	for _, dir := range roots {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !isChecked(path) {
				return err
			}
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			lines, err := replacedLines(path, rel)
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

// isChecked reports whether the words of a file are checked. Tests, generated code and test data are not.
func isChecked(path string) bool {
	if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") || strings.Contains(path, "testdata") {
		return false
	}
	return slices.Contains([]string{".go", ".proto", ".jsonc", ".toml", ".md"}, filepath.Ext(path))
}

// replacedLines returns the lines of a file that contain a replaced word.
func replacedLines(path, rel string) ([]string, error) {
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
