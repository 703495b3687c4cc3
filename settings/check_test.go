package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

type limits struct {
	Count int            `json:"count" validate:"min=1"`
	Named map[string]int `json:"named"`
}

type Embedded struct {
	Depth int `json:"depth" validate:"min=1"`
}

type sample struct {
	Embedded
	Listen  Addr              `json:"listen" validate:"required"`
	Pause   Duration          `json:"pause" validate:"min=1ms"`
	Mode    string            `json:"mode" validate:"oneof=fast slow"`
	Ratio   float64           `json:"ratio" validate:"lte=1"`
	Peers   []Addr            `json:"peers" validate:"unique"`
	Limits  limits            `json:"limits"`
	Each    []limits          `json:"each" validate:"dive"`
	ByName  map[string]limits `json:"by_name" validate:"dive"`
	Pointer *limits           `json:"pointer"`
	Report  *report           `json:"report"`
}

type report struct {
	To    Addr     `json:"to" settings:"enables" validate:"required"`
	Every Duration `json:"every" validate:"required"`
	Names Names    `json:"names" validate:"required,min=1,dive,oneof=a b"`
}

func newSample() *sample {
	return &sample{Embedded: Embedded{Depth: 1}, Listen: "127.0.0.1:1", Pause: 1e9, Mode: "fast", Limits: limits{Count: 1}}
}

func TestDecodeListsFaults(t *testing.T) {
	tests := []struct {
		name, raw string
		want      Faults
	}{
		{"good", `{}`, nil},
		{"empty", ` `, Faults{{"p", "is empty; want a JSON object"}}},
		{"cut", "{\n \"mode\": \"fast\",", Faults{{"p", "line 2, column 17: the JSON ends too early"}}},
		{"broken", "{\n \"mode\" fast}", Faults{{"p", "line 2, column 9: not JSON: invalid character 'f' after object key"}}},
		{"trailing", "{}\n {}", Faults{{"p", "line 2, column 2: data after the end of the JSON value"}}},
		{"not an object", `[]`, Faults{{"p", "want an object, got a list"}}},
		{"unknown with a near name", `{"lisen":"127.0.0.1:1"}`, Faults{{"p.lisen", `unknown setting; did you mean "listen"?`}}},
		{"unknown", `{"zzzzzzzz":1}`, Faults{{"p.zzzzzzzz", "unknown setting"}}},
		{"other case", `{"Mode":"fast"}`, Faults{{"p.Mode", `unknown setting; did you mean "mode"?`}}},
		{"duplicate", `{"mode":"fast","mode":"slow"}`, Faults{{"p.mode", "is set more than once"}}},
		{"duplicate in a map", `{"limits":{"named":{"a":1,"a":2}}}`, Faults{{"p.limits.named.a", "is set more than once"}}},
		{"host name", `{"listen":"localhost:1"}`, Faults{{"p.listen", `want an IP address and port such as "127.0.0.1:7000", got "localhost:1"`}}},
		{"address of another type", `{"listen":1}`, Faults{{"p.listen", `want an address such as "127.0.0.1:7000"`}}},
		{"address in a list", `{"peers":["127.0.0.1:1","::1"]}`, Faults{{"p.peers[1]", `want an IP address and port such as "127.0.0.1:7000", got "::1"`}}},
		{"duration", `{"pause":"soon"}`, Faults{{"p.pause", `want a duration such as "250ms", got "soon"`}}},
		{"negative duration", `{"pause":"-1s"}`, Faults{{"p.pause", `want a duration of zero or more, got "-1s"`}}},
		{"short duration", `{"pause":"1us"}`, Faults{{"p.pause", "want at least 1ms, got 1µs"}}},
		{"wrong type", `{"limits":{"count":"many"}}`, Faults{{"p.limits.count", "want a whole number, got a string"}}},
		{"fraction", `{"limits":{"count":1.5}}`, Faults{{"p.limits.count", "want a whole number, got 1.5"}}},
		{"embedded", `{"depth":0}`, Faults{{"p.depth", "want at least 1, got 0"}}},
		{"null", `{"limits":{"count":null}}`, Faults{{"p.limits.count", "want a whole number, got null"}}},
		{"null pointer", `{"pointer":null}`, nil},
		{"below a pointer", `{"pointer":{"count":0}}`, Faults{{"p.pointer.count", "want at least 1, got 0"}}},
		{"left out", `{"report":{"to":"","every":"ms","names":""}}`, nil},
		{"left out by a template that writes null", `{"report":{"to":"null","every":"nullms","names":"null"}}`, nil},
		{"names in a string", `{"report":{"to":"127.0.0.1:1","every":"1s","names":"a,b"}}`, nil},
		{"names in a list", `{"report":{"to":"127.0.0.1:1","every":"1s","names":["b"]}}`, nil},
		{"no names", `{"report":{"to":"127.0.0.1:1","every":"1s","names":""}}`, Faults{{"p.report.names", "must not be empty"}}},
		{"number for names", `{"report":{"to":"127.0.0.1:1","every":"1s","names":1}}`, Faults{{"p.report.names", `want a list of names, or a string such as "first,second"`}}},
		{"unknown name", `{"report":{"to":"127.0.0.1:1","every":"1s","names":"a,c"}}`, Faults{{"p.report.names[1]", `want one of a, b, got "c"`}}},
		{"not left out", `{"report":{"every":"ms"}}`, Faults{
			{"p.report.every", `want a duration such as "250ms", got "ms"`}, {"p.report.to", "is missing"}, {"p.report.names", "is missing"},
		}},
		{"below a list", `{"each":[{"count":1},{"count":0}]}`, Faults{{"p.each[1].count", "want at least 1, got 0"}}},
		{"below a map", `{"by_name":{"big one":{"count":0}}}`, Faults{{"p.by_name.big one.count", "want at least 1, got 0"}}},
		{"missing in a list", `{"each":[{}]}`, Faults{{"p.each[0].count", "want at least 1, got 0"}}},
		{"oneof", `{"mode":"warp"}`, Faults{{"p.mode", `want one of fast, slow, got "warp"`}}},
		{"above", `{"ratio":2}`, Faults{{"p.ratio", "want at most 1, got 2"}}},
		{"twice in a list", `{"peers":["127.0.0.1:1","127.0.0.1:1"]}`, Faults{{"p.peers", "must not hold the same value twice"}}},
		{"many at once", `{"lisen":1,"pause":3,"limits":{"count":0,"count":1},"mode":"warp"}`, Faults{
			{"p.lisen", `unknown setting; did you mean "listen"?`},
			{"p.pause", `want a duration such as "250ms"`},
			{"p.limits.count", "is set more than once"},
			{"p.mode", `want one of fast, slow, got "warp"`},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var got Faults
			if err := Decode("p", []byte(test.raw), newSample()); err != nil {
				is.True(errors.As(err, &got))
			}
			is.Equal(got, test.want)
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s := newSample()
	is.NoErr(Decode("", []byte(`{"peers":["127.0.0.1:2"],"by_name":{"a":{"count":4}}}`), s))
	is.Equal(s.Mode, "fast")
	is.Equal(s.Peers, []Addr{"127.0.0.1:2"})
	is.Equal(s.ByName["a"].Count, 4)
}

// validFilePrefix is a valid settings file without its closing brace.
const validFilePrefix = `{"node":{"name":"a","region":"r","zone":"z"},"tls":{"ca":"c","cert":"d","key":"e"},"plugins":{"x":{}}`

func TestReadFile(t *testing.T) {
	tests := []struct {
		name, raw string
		want      Faults
	}{
		{"valid", validFilePrefix + `}`, nil},
		{"nothing set", `{}`, Faults{
			{"node.name", "is missing"}, {"node.region", "is missing"}, {"node.zone", "is missing"},
			{"plugins", "is missing"},
		}},
		{"stand-in without an identity", `{"node":{"name":"a","region":"r","zone":"z"},"plugins":{"standin.engine":{}}}`, nil},
		{"stand-in beside a daemon", `{"node":{"name":"a","region":"r","zone":"z"},"tls":{"ca":"c","key":"k"},"plugins":{"standin.engine":{},"entry":{}}}`, Faults{
			{"tls.cert", "is missing"},
		}},
		{"known zone", validFilePrefix + `,"zones":[{"region":"r","name":"z"}]}`, nil},
		{"unknown zone", validFilePrefix + `,"zones":[{"region":"r","name":"hall"}]}`, Faults{
			{"node.zone", `no zone "z" in this deployment; known: hall`},
		}},
		{"zone of another region", validFilePrefix + `,"zones":[{"region":"s","name":"z"}]}`, Faults{
			{"node.region", `zone "z" is in region "s", not in "r"`},
		}},
		{"zone without a region", validFilePrefix + `,"zones":[{"name":"z"}]}`, Faults{
			{"zones[0].region", "is missing"}, {"node.region", `zone "z" is in region "", not in "r"`},
		}},
		{"identity without files", `{"node":{"name":"a","region":"r","zone":"z"},"tls":{},"plugins":{"x":{}}}`, Faults{
			{"tls.ca", "is missing"}, {"tls.cert", "is missing"}, {"tls.key", "is missing"},
		}},
		{"no plug-ins", `{"node":{"name":"","region":"r","zone":"z"},"tls":{"ca":"c","cert":"d","key":"e"},"plugins":{}}`, Faults{
			{"node.name", "must not be empty"}, {"plugins", "want at least 1 entries"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			name := filepath.Join(t.TempDir(), "s.json")
			is.NoErr(os.WriteFile(name, []byte(test.raw), 0o600))
			_, err := ReadFile(name)
			var got Faults
			if err != nil {
				is.True(errors.As(err, &got))
			}
			is.Equal(got, test.want)
		})
	}
}

func TestNearest(t *testing.T) {
	is := is.New(t)
	names := []string{"zones", "routes", "models"}
	is.Equal(Nearest("zone", names), "zones")
	is.Equal(Nearest("ruotes", names), "routes")
	is.Equal(Nearest("xyz", names), "")
	is.Equal(Nearest("", names), "")
}

// FuzzDecode checks that no input makes Decode panic, and that encoding/json accepts every
// input that Decode accepts.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{}`, `{"mode":"slow"}`, `{"each":[{"count":1}]}`, `{"a":`, `[1]`, `null`, `{"limits":{"named":{"":1}}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		is := is.New(t)
		err := Decode("p", raw, newSample())
		if err != nil {
			var faults Faults
			is.True(errors.As(err, &faults))
			is.True(len(faults) > 0)
			return
		}
		is.NoErr(json.Unmarshal(raw, newSample()))
	})
}
