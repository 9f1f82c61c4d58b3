package loader_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/loader"
)

type settings struct {
	Name  string `json:"name" validate:"required"`
	Count int    `json:"count" validate:"min=0,max=9"`
}

func TestSyntaxErrorsNameLineAndKey(t *testing.T) {
	cases := []struct {
		name, text, key string
		line            int
	}{
		{"unknown key", "{\n\"name\": \"a\",\n\"extra\": 1}", "/extra", 3},
		{"duplicate key", "{\n\"name\": \"a\",\n\"name\": \"b\"}", "/name", 3},
		{"wrong type", "{\n\"name\": 7}", "/name", 2},
		{"cut short", "{\n\"name\": ", "/name", 2},
		{"data after the value", "{}\n{}", "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s settings
			err := loader.Decode("lb.json", []byte(c.text), &s)
			var syntax *loader.SyntaxError
			is.True(errors.As(err, &syntax))
			is.Equal(syntax.Path(), "lb.json")
			is.Equal(syntax.Line(), c.line)
			is.Equal(syntax.Key(), c.key)
		})
	}
}

func TestValuesOutOfRangeNameTheKey(t *testing.T) {
	is := is.New(t)
	var s settings
	err := loader.Decode("lb.json", []byte(`{"name": "a", "count": 10}`), &s)
	var invalid *loader.ValueError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Key(), "count")
	is.Equal(invalid.Rule(), "max=9")
}

func TestOnlyRegularFilesAreRead(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	var s settings
	is.True(loader.Load(folder, &s) != nil)
	is.True(loader.Load(filepath.Join(folder, "missing.json"), &s) != nil)
	path := filepath.Join(folder, "lb.json")
	is.NoErr(os.WriteFile(path, []byte(`{"name": "a", "count": 3}`), 0o600))
	is.NoErr(loader.Load(path, &s))
	is.Equal(s, settings{Name: "a", Count: 3})
}

// FuzzDecode checks that values that Decode accepts follow the rules of their tags.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "count": 3}`))
	f.Add([]byte("{\n\"name\": 7}"))
	f.Add([]byte(`{"name":"a","name":"b"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s settings
		if loader.Decode("lb.json", data, &s) != nil {
			return
		}
		if s.Name == "" || s.Count < 0 || s.Count > 9 {
			t.Fatalf("accepted %q as %+v", data, s)
		}
	})
}
