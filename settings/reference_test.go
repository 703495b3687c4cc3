package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestWriteReference(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	docs := NewDocs("..", "github.com/rosemaryproxy/rosemaryproxy")
	is.NoErr(WriteReference(&out, []Section{{Title: "One", Path: "plugins.one", Defaults: newSample()}, {Title: "File", Defaults: &File{}}}, docs))
	for _, want := range []string{
		"## One\n",
		"| `plugins.one.pause` | duration | at least 1ms | `\"1s\"` |  |\n",
		"| `plugins.one.mode` | string | one of fast, slow | `\"fast\"` |  |\n",
		"| `plugins.one.limits.count` | whole number | at least 1 | `1` |  |\n",
		"| `plugins.one.by_name.<name>.count` | whole number | at least 1 |  |  |\n",
		"| `plugins.one.each[].count` |",
		"| `plugins.one.pointer.count` |",
		"File is the complete settings file of one process.\n",
		"| `node.zone` | string | required |  | Zone is the availability zone of the VM. |\n",
		"| `zones[].name` | string | required |  | Name is the zone's name. |\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the reference does not contain %q:\n%s", want, out.String())
		}
	}
}
