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

var helpCommand = regexp.MustCompile(`(?m)^   ([a-z-]+) {2,}`)

// TestManualNamesEachCommand compares the manual page with the built command's help.
func TestManualNamesEachCommand(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../man/trefoilspring.1.md")
	is.NoErr(err)
	help, err := exec.Command(filepath.Join(binaries, "trefoilspring"), "--help").Output()
	is.NoErr(err)
	_, commands, _ := strings.Cut(string(help), "COMMANDS:")
	commands, _, _ = strings.Cut(commands, "GLOBAL OPTIONS:")
	found := helpCommand.FindAllStringSubmatch(commands, -1)
	is.True(len(found) > 0)
	for _, m := range found {
		is.True(strings.Contains(string(page), "- **"+m[1]+"**: ")) // The page has each command of the help.
	}
}

// TestManualNamesEachKey compares the settings' manual page with their own page.
func TestManualNamesEachKey(t *testing.T) {
	is := is.New(t)
	manual, err := os.ReadFile("../man/trefoilspring-settings.5.md")
	is.NoErr(err)
	settings, err := os.ReadFile("../docs/SETTINGS.md")
	is.NoErr(err)
	keys := regexp.MustCompile("(?m)^\\| `(?:[a-z-]+\\.)?([a-z-]+)` ").FindAllStringSubmatch(string(settings), -1)
	is.True(len(keys) > 0)
	for _, m := range keys {
		is.True(strings.Contains(string(manual), "`"+m[1]+"`")) // The manual has each key of the page.
	}
}
