package test_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var pageLinkPattern = regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)

// TestPageLinksResolve checks that the relative links of the pages name files that
// exist.
func TestPageLinksResolve(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("../docs/*.md")
	is.NoErr(err)
	pages = append(pages, "../README.md", "../CHANGELOG.md")
	for _, page := range pages {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, m := range pageLinkPattern.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			is.NoErr(err) // Each relative link names a file that exists.
		}
	}
}
