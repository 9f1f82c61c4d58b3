package operator_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/operator"
)

const base = `{
  "availability-zones": {"ne-a": {"state": "in"}},
  "services": {"desk": {"addresses": ["198.51.100.10:443"], "protocol": "quic"}},
  "targets": {
    "bd-01": {"service": "desk", "availability-zone": "ne-a", "address": "10.0.0.1:7001"}
  }
}`

// folder writes files, given by name, to a temporary folder and returns its path.
func folder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestLaterFilesTakePrecedence(t *testing.T) {
	is := is.New(t)
	d, err := operator.LoadFolder(folder(t, map[string]string{
		"10-base.json":  base,
		"9-later.json":  `{"targets": {"bd-01": {"weight": 5, "health": null}}}`,
		"95-third.json": `{"targets": {"bd-01": {"weight": 6}, "bd-02": null}}`,
	}))
	is.NoErr(err)
	// The byte order puts "9-" before "95" and "10" before both.
	is.Equal(d.Targets["bd-01"].Weight, 6)
	is.Equal(len(d.Targets), 1)
}

func TestInvalidValuesNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct {
		data string
		line int
		key  string
	}{
		"unknown state":             {"{\n\"targets\": {\"bd-01\": {\"state\": \"gone\"}}}", 2, "/targets/bd-01/state"},
		"no service":                {"{\"targets\":\n {\"bd-01\": {\n\"service\": \"x\"}}}", 3, "/targets/bd-01/service"},
		"no zone":                   {`{"targets": {"bd-01": {"availability-zone": "x"}}}`, 1, "/targets/bd-01/availability-zone"},
		"zone deleted":              {`{"availability-zones": {"ne-a": null}}`, 7, "/targets/bd-01/availability-zone"},
		"duplicate service address": {`{"services": {"x": {"addresses": ["198.51.100.10:443"], "protocol": "udp"}}}`, 1, "/services/x/addresses"},
		"duplicate target address": {
			`{"targets": {"x": {"service": "desk", "availability-zone": "ne-a", "address": "10.0.0.1:7001"}}}`,
			1, "/targets/x/address",
		},
		"no port":      {`{"targets": {"bd-01": {"address": "10.0.0.1:0"}}}`, 1, "/targets/bd-01/address"},
		"invalid name": {"{\"services\": {\n\"a b\": {}}}", 2, "/services/a b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			second := operator.File{Path: "20.json", Data: []byte(c.data)}
			_, err := operator.Merge([]operator.File{second, {Path: "10.json", Data: []byte(base)}})
			var invalid *operator.DocumentError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Key(), c.key)
			// The zone that the deletion makes invalid is set in 10.json, so neither path
			// nor line are those of the other cases.
			if name != "zone deleted" {
				is.Equal(invalid.Path(), "20.json")
				is.Equal(invalid.Line(), c.line)
			}
		})
	}
}

func TestSyntaxErrorsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct {
		data string
		line int
		key  string
	}{
		"unknown key":   {"{\"targets\": {\"bd-01\": {\n\"stat\": \"active\"}}}", 2, "/targets/bd-01/stat"},
		"duplicate key": {"{\"targets\": {\n\"x\": {}, \"x\": {}}}", 2, "/targets/x"},
		"wrong type":    {"{\"targets\": {\"x\":\n{\"weight\": \"1\"}}}", 2, "/targets/x/weight"},
		"cut short":     {"{\n\"targets\": ", 2, "/targets"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := operator.Merge([]operator.File{{Path: "10.json", Data: []byte(c.data)}})
			var invalid *loader.SyntaxError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Path(), "10.json")
			is.Equal(invalid.Line(), c.line)
			is.Equal(invalid.Key(), c.key)
		})
	}
}

func TestInvalidFilesAreRefused(t *testing.T) {
	for _, name := range []string{".hidden.json", "a.json~", ".a.json.swp", "#a.json#", "README.md", "a.json.swp"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := operator.LoadFolder(folder(t, map[string]string{"10.json": base, name: "{}"}))
			var invalid *operator.FileError
			is.True(errors.As(err, &invalid))
			is.Equal(filepath.Base(invalid.Path()), name)
		})
	}
	t.Run("link", func(t *testing.T) {
		is := is.New(t)
		dir := folder(t, map[string]string{"10.json": base})
		is.NoErr(os.Symlink("10.json", filepath.Join(dir, "20.json")))
		_, err := operator.LoadFolder(dir)
		var invalid *operator.FileError
		is.True(errors.As(err, &invalid))
	})
	t.Run("null", func(t *testing.T) {
		is := is.New(t)
		_, err := operator.LoadFolder(folder(t, map[string]string{"10.json": "null"}))
		var invalid *operator.FileError
		is.True(errors.As(err, &invalid))
	})
}

func TestEncodingIsCanonical(t *testing.T) {
	is := is.New(t)
	one, err := operator.Merge([]operator.File{{Path: "1.json", Data: []byte(base)}})
	is.NoErr(err)
	data, err := operator.Encode(one)
	is.NoErr(err)
	two, err := operator.Decode(data)
	is.NoErr(err)
	again, err := operator.Encode(two)
	is.NoErr(err)
	is.Equal(string(data), string(again))
	is.Equal(len(operator.Diff(one, two)), 0)
}

// FuzzMerge checks that a merged document equals the one that is decoded from its
// encoding.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(base), []byte(`{"targets": {"bd-01": {"state": "draining"}}}`))
	f.Add([]byte(base), []byte(`{"targets": {"bd-01": null}}`))
	f.Add([]byte(`{"services": null}`), []byte(`{"services": {"a": {"addresses": null}}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d, err := operator.Merge([]operator.File{{Path: "1.json", Data: first}, {Path: "2.json", Data: second}})
		if err != nil {
			return
		}
		data, err := operator.Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := operator.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if changes := operator.Diff(d, again); len(changes) > 0 {
			t.Fatal(changes)
		}
	})
}
