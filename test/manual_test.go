package test_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var helpCommandPattern = regexp.MustCompile(`(?m)^   ([a-z-]+) {2,}`)

// TestManualNamesEachCommand checks that the manual page has each command that the help
// of the built command lists.
func TestManualNamesEachCommand(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../man/trefoilspring.1.md")
	is.NoErr(err)
	help, err := exec.Command(filepath.Join(binaryFolder, "trefoilspring"), "--help").Output()
	is.NoErr(err)
	_, commands, _ := strings.Cut(string(help), "COMMANDS:")
	commands, _, _ = strings.Cut(commands, "GLOBAL OPTIONS:")
	found := helpCommandPattern.FindAllStringSubmatch(commands, -1)
	is.True(len(found) > 0)
	for _, m := range found {
		is.True(strings.Contains(string(page), "- **"+m[1]+"**: ")) // The page lists each command of the help.
	}
}

// TestManualNamesEachKey checks that the manual page of the settings names each key that
// docs/SETTINGS.md lists.
func TestManualNamesEachKey(t *testing.T) {
	is := is.New(t)
	manual, err := os.ReadFile("../man/trefoilspring-settings.5.md")
	is.NoErr(err)
	settings, err := os.ReadFile("../docs/SETTINGS.md")
	is.NoErr(err)
	keys := regexp.MustCompile("(?m)^\\| `(?:[a-z-]+\\.)?([a-z-]+)` ").FindAllStringSubmatch(string(settings), -1)
	is.True(len(keys) > 0)
	for _, m := range keys {
		is.True(strings.Contains(string(manual), "`"+m[1]+"`")) // The manual names each key of docs/SETTINGS.md.
	}
}
