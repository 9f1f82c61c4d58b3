package test_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// folderTemplate is the content of an operators' folder, with a weight to fill in.
const folderTemplate = `{
  "availability-zones": {"ne-a": {"state": "in"}},
  "services": {"desk": {"addresses": ["198.51.100.10:443"], "protocol": "udp"}},
  "targets": {"bd-01": {"service": "desk", "availability-zone": "ne-a", "address": "127.0.0.1:7001", "weight": %d}}
}`

// Several operators apply different folders at once, as separate processes and based on
// the same revision. Exactly one change is accepted, and each of the other operators gets
// a conflict that names the accepted change.
func TestConcurrentApplyAcceptsOneChange(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	api, admin := nextAddress(), nextAddress()
	is.NoErr(writeSettings(filepath.Join(dir, "platform.json"), api, admin))
	ctx, stop := context.WithCancel(t.Context())
	platform := exec.CommandContext(ctx, filepath.Join(binaryFolder, "standin"), "platform", "--settings", filepath.Join(dir, "platform.json"))
	is.NoErr(platform.Start())
	defer func() {
		stop()
		_ = platform.Wait()
	}()
	is.NoErr(awaitPlatform("http://" + admin))
	// The platform answers slowly, so that all operators have read before one writes.
	res, err := http.PostForm("http://"+admin+"/switch", url.Values{"slow": {"400ms"}})
	is.NoErr(err)
	is.NoErr(res.Body.Close())

	const operators = 6
	exitCodes := make([]int, operators)
	errorTexts := make([]string, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			folder := filepath.Join(dir, fmt.Sprint(i))
			exitCodes[i], errorTexts[i] = applyFolder(ctx, folder, api, i)
		})
	}
	group.Wait()
	accepted := 0
	for i, code := range exitCodes {
		switch code {
		case 0:
			accepted++
		case 3:
			is.True(strings.Contains(errorTexts[i], "conflict: based on revision 0, but revision 1 is accepted (change "))
		default:
			t.Errorf("operator %d ended with %d: %s", i, code, errorTexts[i])
		}
	}
	is.Equal(accepted, 1)
}

// applyFolder writes a folder and applies it. It returns the exit code and the error
// output.
func applyFolder(ctx context.Context, folder, api string, i int) (int, string) {
	if err := os.Mkdir(folder, 0o700); err != nil {
		return -1, err.Error()
	}
	data := fmt.Sprintf(folderTemplate, i+1)
	if err := os.WriteFile(filepath.Join(folder, "10.json"), []byte(data), 0o600); err != nil {
		return -1, err.Error()
	}
	cmd := exec.CommandContext(ctx, filepath.Join(binaryFolder, "trefoilspring"), "apply",
		"--folder", folder, "--platform", "http://"+api, "--based-on", "0")
	var text bytes.Buffer
	cmd.Stderr = &text
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), text.String()
}
