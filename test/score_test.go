package test_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// benchmark stands in for the users' benchmark: it writes a journal entry for the site
// that it is to score. BROKEN is a rule that the day broke, or empty.
const benchmark = `#!/usr/bin/env bash
site=$(basename "$2" .toml)
rules="{${BROKEN:+\"$BROKEN\": 1}}"
echo "{\"site\": \"$site\", \"cmd\": \"score\", \"days\": [{\"name\": \"quiet-1\", \"G\": ${WORTH:-0.95},
  \"served\": 1, \"parts\": [], \"prices\": [], \"rules\": $rules}]}" >"journal/99990101T00$(ls journal | wc -l)-$site.json"
`

// newScoreFolder returns a folder with script/score, the benchmark's stand-in and a
// journal that is longer than the buffer of a pipe.
func newScoreFolder(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	script, err := os.ReadFile("../script/score")
	is.NoErr(err)
	for path, content := range map[string]string{"script/score": string(script), "benchmark": benchmark, "docs/scores.tsv": ""} {
		path = filepath.Join(folder, path)
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(content), 0o755)) //nolint:gosec // scripts are run
	}
	is.NoErr(os.Mkdir(filepath.Join(folder, "journal"), 0o755))
	for n := range 4000 {
		is.NoErr(os.WriteFile(filepath.Join(folder, "journal", fmt.Sprintf("20261205T%06d-0123abcd.json", n)), nil, 0o600))
	}
	return folder
}

// score runs script/score in a folder and returns its output.
func score(t *testing.T, folder string, env []string, args ...string) (string, error) {
	t.Helper()
	for _, tool := range []string{"bash", "jq", "awk", "column"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Fatalf("script/score needs %s: %v", tool, err)
		}
	}
	cmd := exec.Command("script/score", args...)
	cmd.Dir = folder
	cmd.Env = append(os.Environ(), append([]string{"FLEETBENCH=" + filepath.Join(folder, "benchmark")}, env...)...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func TestScoreListsEverySiteBesideALongJournal(t *testing.T) {
	is := is.New(t)
	folder := newScoreFolder(t)
	out, err := score(t, folder, nil, "--save", "--why", "test", "a.toml", "b.toml")
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	table, err := os.ReadFile(filepath.Join(folder, "docs/scores.tsv"))
	is.NoErr(err)
	machine := map[string]string{"arm64": "aarch64", "amd64": "x86_64"}[runtime.GOARCH]
	for _, site := range []string{"a", "b"} {
		is.True(strings.Contains(string(table), site+"\tquiet-1\t"+machine+"\t0.95\t"))
	}
}

func TestScorePlaysTheSitesOfTheMilestoneByDefault(t *testing.T) {
	is := is.New(t)
	out, err := score(t, newScoreFolder(t), nil, "--why", "test")
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, site := range []string{"kettle-booking-large", "sebppa-lb", "sebppa-lb-grown"} {
		is.True(strings.Contains(out, site+" "))
	}
}

// A row of another kind of machine is kept and isn't compared with.
func TestScoreComparesWithTheSameKindOfMachineOnly(t *testing.T) {
	is := is.New(t)
	folder := newScoreFolder(t)
	other := "a\tquiet-1\tother\t0.99\t1\t-\t0\t0\t0\t-\n"
	table := filepath.Join(folder, "docs/scores.tsv")
	is.NoErr(os.WriteFile(table, []byte("# heading\n"+other), 0o600))
	_, err := score(t, folder, nil, "--save", "--why", "test", "a.toml")
	is.NoErr(err)
	kept, err := os.ReadFile(table)
	is.NoErr(err)
	is.True(strings.Contains(string(kept), other))
	_, err = score(t, folder, []string{"WORTH=0.90"}, "--why", "test", "a.toml")
	is.True(err != nil) // fell by more than the noise
	_, err = score(t, folder, []string{"BROKEN=DRAIN"}, "--why", "test", "a.toml")
	is.True(err != nil)
}
