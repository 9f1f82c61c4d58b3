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

var update = flag.Bool("update", false, "write the JSON Schema of the settings anew")

const (
	settingsPage   = "../docs/SETTINGS.md"
	settingsSchema = "../docs/settings.schema.json"
)

// row is what the page must say of a key.
type row struct{ span, fallback string }

// rowsOf lists the keys of a settings type, with those of its parts.
func rowsOf(prefix string, t reflect.Type) map[string]row {
	rows := map[string]row{}
	for field := range fieldsOf(t) {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		key := prefix + name
		r := row{span: spanOf(field)}
		if !strings.Contains(options, "omit") {
			r.fallback = "required"
		}
		rows[key] = r
		part := field.Type
		if part.Kind() == reflect.Slice {
			part = part.Elem()
		}
		if part.Kind() == reflect.Struct && part != reflect.TypeFor[netip.AddrPort]() {
			for inner, r := range rowsOf(key+".", part) {
				rows[inner] = r
			}
		}
	}
	return rows
}

func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// spanOf says the validate rules of a field in the page's words.
func spanOf(field reflect.StructField) string {
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
		return spanText(field, rules["min"]) + " to " + spanText(field, rules["max"])
	case rules["min"] != "":
		return rules["min"] + " entry or more"
	case each && required:
		return "each not empty"
	case required:
		return "not empty"
	}
	return "any"
}

func spanText(field reflect.StructField, value string) string {
	if field.Type != reflect.TypeFor[operator.Duration]() {
		return value
	}
	d, err := time.ParseDuration(value + "ns")
	if err != nil {
		panic(err)
	}
	return d.String()
}

var pageRow = regexp.MustCompile("(?m)^\\| `([a-z.-]+)` \\| [^|]+ \\| ([^|]+) \\| ([^|]+) \\| [^|]+ \\|$")

func TestSettingsPageIsInStep(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	written := map[string]row{}
	for _, m := range pageRow.FindAllStringSubmatch(string(page), -1) {
		written[m[1]] = row{span: m[2], fallback: m[3]}
	}
	wanted := rowsOf("", reflect.TypeFor[server.Settings]())
	for key, want := range wanted {
		got, found := written[key]
		is.True(found)                // The page has a row for each key.
		is.Equal(got.span, want.span) // The range is that of the validate tag.
		if want.fallback != "" {
			is.Equal(got.fallback, want.fallback)
		}
	}
	is.Equal(len(written), len(wanted)) // No row without a key.
	is.Equal(written["readers"].fallback, fmt.Sprint(server.DefaultReaders))
}

// schemaOf returns the JSON Schema of the settings.
func schemaOf() *jsonschema.Schema {
	r := jsonschema.Reflector{
		ExpandedStruct: true,
		DoNotReference: true,
		Anonymous:      true,
		Mapper:         textSchema,
	}
	schema := r.Reflect(&server.Settings{})
	for field := range fieldsOf(reflect.TypeFor[server.Settings]()) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if part, found := schema.Properties.Get(name); found {
			limit(part, field)
		}
	}
	schema.Title = "Settings of a trefoilspring balancer"
	return schema
}

// limit gives a schema the range of its field's validate tag.
func limit(schema *jsonschema.Schema, field reflect.StructField) {
	span := spanOf(field)
	lowest, highest, ranged := strings.Cut(span, " to ")
	switch {
	case span == "not empty" && schema.Type == "string":
		one := uint64(1)
		schema.MinLength = &one
	case span == "1 entry or more":
		one := uint64(1)
		schema.MinItems = &one
	case ranged && schema.Type == "integer":
		schema.Minimum = json.Number(lowest)
		schema.Maximum = json.Number(highest)
	}
}

// textSchema returns the schema of types that JSON holds as text.
func textSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Pattern: `^(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:.]+\]):[1-9]\d*$`}
	case reflect.TypeFor[operator.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9.]+(ns|us|µs|ms|s|m|h))+$|^0$`}
	}
	return nil
}

func TestSettingsSchemaIsUpToDate(t *testing.T) {
	is := is.New(t)
	data, err := json.MarshalIndent(schemaOf(), "", "  ")
	is.NoErr(err)
	data = append(data, '\n')
	if *update {
		is.NoErr(os.WriteFile(settingsSchema, data, 0o644))
	}
	committed, err := os.ReadFile(settingsSchema)
	is.NoErr(err)
	is.Equal(string(committed), string(data)) // Else run go test ./server -update.
}

// example returns the example of the page.
func example(t *testing.T) string {
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	text, _, _ := strings.Cut(rest, "```")
	return text
}

func TestSchemaJudgesAsTheLoader(t *testing.T) {
	schema, err := checker.NewCompiler().Compile(settingsSchema)
	if err != nil {
		t.Fatal(err)
	}
	good := example(t)
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

func TestSettingsThatDoNotFitAreRefused(t *testing.T) {
	good := example(t)
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
			var fault *server.SettingsError
			is.True(errors.As(err, &fault))
			is.Equal(fault.Key(), c.key)
		})
	}
}
