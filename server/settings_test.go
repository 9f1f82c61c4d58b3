package server_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
	"github.com/matryer/is"
	checker "github.com/santhosh-tekuri/jsonschema/v6"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/server"
)

var updateSchema = flag.Bool("update", false, "regenerate the JSON Schema of the settings")

const (
	pagePath   = "../docs/SETTINGS.md"
	schemaPath = "../docs/settings.schema.json"
)

// pageRow holds the columns of a key's row on the settings page that are checked.
type pageRow struct{ allowed, defaultValue string }

// expectedRows returns the row of each key of a settings type, under prefix and the key.
// The keys of a nested struct get the key of the struct and a dot as prefix.
func expectedRows(prefix string, t reflect.Type) map[string]pageRow {
	rows := map[string]pageRow{}
	for field := range fieldsOf(t) {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		key := prefix + name
		r := pageRow{allowed: allowedRange(field)}
		if !strings.Contains(options, "omit") {
			r.defaultValue = "required"
		}
		rows[key] = r
		elem := field.Type
		if elem.Kind() == reflect.Slice {
			elem = elem.Elem()
		}
		if elem.Kind() == reflect.Struct && elem != reflect.TypeFor[netip.AddrPort]() {
			for inner, r := range expectedRows(key+".", elem) {
				rows[inner] = r
			}
		}
	}
	return rows
}

// fieldsOf returns an iterator over the fields of a struct type.
func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// allowedRange returns the validate tag of a field in the wording of the settings page.
func allowedRange(field reflect.StructField) string {
	rules := map[string]string{}
	for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
		name, value, _ := strings.Cut(rule, "=")
		rules[name] = value
	}
	_, isURL := rules["url"]
	_, each := rules["dive"]
	_, required := rules["required"]
	switch {
	case isURL:
		return "a URL"
	case rules["max"] != "":
		return boundText(field, rules["min"]) + " to " + boundText(field, rules["max"])
	case rules["min"] != "":
		return rules["min"] + " entry or more"
	case each && required:
		return "each not empty"
	case required:
		return "not empty"
	}
	return "any"
}

// boundText returns a bound of a validate tag as text. Bounds of durations are
// nanoseconds in the tag, and durations such as 10m0s in the result.
func boundText(field reflect.StructField, value string) string {
	if field.Type != reflect.TypeFor[operator.Duration]() {
		return value
	}
	d, err := time.ParseDuration(value + "ns")
	if err != nil {
		panic(err)
	}
	return d.String()
}

var pageRowPattern = regexp.MustCompile("(?m)^\\| `([a-z.-]+)` \\| [^|]+ \\| ([^|]+) \\| ([^|]+) \\| [^|]+ \\|$")

// TestSettingsPageDescribesEachKey compares the table of the settings page with the
// fields of Settings and their validate tags.
func TestSettingsPageDescribesEachKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	documented := map[string]pageRow{}
	for _, m := range pageRowPattern.FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = pageRow{allowed: m[2], defaultValue: m[3]}
	}
	expected := expectedRows("", reflect.TypeFor[server.Settings]())
	for key, want := range expected {
		got, found := documented[key]
		is.True(found)                      // The page has a row for each key.
		is.Equal(got.allowed, want.allowed) // The range is that of the validate tag.
		if want.defaultValue != "" {
			is.Equal(got.defaultValue, want.defaultValue)
		}
	}
	is.Equal(len(documented), len(expected)) // No row without a key.
	is.Equal(documented["readers"].defaultValue, fmt.Sprint(server.DefaultReaders))
}

// generateSchema derives the JSON Schema of the settings file from Settings.
func generateSchema() *jsonschema.Schema {
	r := jsonschema.Reflector{
		ExpandedStruct: true,
		DoNotReference: true,
		Anonymous:      true,
		Mapper:         textSchema,
	}
	schema := r.Reflect(&server.Settings{})
	for field := range fieldsOf(reflect.TypeFor[server.Settings]()) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if property, found := schema.Properties.Get(name); found {
			setRange(property, field)
		}
	}
	schema.Title = "Settings of a trefoilspring balancer"
	return schema
}

// setRange sets the bounds of a field's schema from its validate tag.
func setRange(schema *jsonschema.Schema, field reflect.StructField) {
	allowed := allowedRange(field)
	lowest, highest, hasRange := strings.Cut(allowed, " to ")
	switch {
	case allowed == "not empty" && schema.Type == "string":
		one := uint64(1)
		schema.MinLength = &one
	case allowed == "1 entry or more":
		one := uint64(1)
		schema.MinItems = &one
	case hasRange && schema.Type == "integer":
		schema.Minimum = json.Number(lowest)
		schema.Maximum = json.Number(highest)
	}
}

// textSchema returns the schema of types that are encoded as JSON strings, and nil for
// other types.
func textSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Pattern: `^(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:.]+\]):[1-9]\d*$`}
	case reflect.TypeFor[operator.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9.]+(ns|us|µs|ms|s|m|h))+$|^0$`}
	}
	return nil
}

// TestSettingsSchemaIsUpToDate compares the committed JSON Schema with one generated from
// Settings.
func TestSettingsSchemaIsUpToDate(t *testing.T) {
	is := is.New(t)
	data, err := json.MarshalIndent(generateSchema(), "", "  ")
	is.NoErr(err)
	data = append(data, '\n')
	if *updateSchema {
		is.NoErr(os.WriteFile(schemaPath, data, 0o644))
	}
	committed, err := os.ReadFile(schemaPath)
	is.NoErr(err)
	is.Equal(string(committed), string(data)) // If not, run go test ./server -update.
}

// exampleSettings returns the JSON example on the settings page.
func exampleSettings(t *testing.T) string {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	text, _, _ := strings.Cut(rest, "```")
	return text
}

// TestSchemaAndLoaderAgree guards against a schema that accepts a file which the loader
// rejects, or the other way round.
func TestSchemaAndLoaderAgree(t *testing.T) {
	schema, err := checker.NewCompiler().Compile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	good := exampleSettings(t)
	for name, c := range map[string]struct {
		text string
		good bool
	}{
		"example":       {good, true},
		"unknown key":   {strings.Replace(good, `"drain"`, `"drian": 1, "drain"`, 1), false},
		"no name":       {strings.Replace(good, `"name": "lb-ne-a-1",`, "", 1), false},
		"number":        {strings.Replace(good, `"30s"`, `30`, 1), false},
		"bad address":   {strings.Replace(good, `192.0.2.1:4789`, `lb-ne-a-1`, 1), false},
		"port 0":        {strings.Replace(good, `192.0.2.1:4789`, `192.0.2.1:0`, 1), false},
		"many readers":  {strings.Replace(good, `"drain"`, `"readers": 65, "drain"`, 1), false},
		"no fabric":     {strings.Replace(good, `"192.0.2.250:4789"`, "", 1), false},
		"empty name":    {strings.Replace(good, `"lb-ne-a-1"`, `""`, 1), false},
		"other readers": {strings.Replace(good, `"drain"`, `"readers": 4, "drain"`, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := checker.UnmarshalJSON(strings.NewReader(c.text))
			is.NoErr(err)
			is.Equal(schema.Validate(value) == nil, c.good)
			path := filepath.Join(t.TempDir(), "balancer.json")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			_, err = server.LoadSettings(path)
			is.Equal(err == nil, c.good)
		})
	}
}

// TestConflictingSettingsAreRefused covers rules that the validate tags can't express; the
// error must name the key.
func TestConflictingSettingsAreRefused(t *testing.T) {
	good := exampleSettings(t)
	for name, c := range map[string]struct{ old, text, key string }{
		"peer with own name": {"lb-ne-b-1", "lb-ne-a-1", "peers[0].name"},
		"address twice":      {"192.0.2.2:4790", "192.0.2.1:4790", "peers[0].peer-address"},
		"open admin address": {"127.0.0.1:9102", "192.0.2.1:9102", "admin-address"},
		"every address":      {"192.0.2.1:4789", "0.0.0.0:4789", "data-address"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "balancer.json")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(good, c.old, c.text, 1)), 0o600))
			_, err := server.LoadSettings(path)
			var settingsErr *server.SettingsError
			is.True(errors.As(err, &settingsErr))
			is.Equal(settingsErr.Key(), c.key)
		})
	}
}
