package cli

import (
	"fmt"
	"io"
	"reflect"

	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// module is the path of the Go module whose doc comments describe the settings.
const module = "github.com/rosemaryproxy/rosemaryproxy"

const referenceHead = `# Settings reference

Made from the settings types by ` + "`rosemaryctl settings-reference --source .`" + `; edit the
types' comments, not this page.

A settings file is one JSON object. Unknown settings, wrong types, bad addresses
and durations, missing and repeated settings are all reported at once with their
JSON path by ` + "`<program> check --settings FILE`" + `, and a program with a fault in its
settings starts nothing. An address is an IP number and a port. A duration is a
string such as "250ms" or "1m30s".
`

// SettingsReference returns the command that prints the reference of the settings file and of
// all plug-ins that are built into the program.
func SettingsReference() *cobra.Command {
	var source string
	c := &cobra.Command{
		Use:   "settings-reference",
		Short: "Print the reference of all settings as Markdown",
		Long: `Print the reference of the settings file and of every built-in plug-in as
Markdown. With --source the descriptions are taken from the doc comments of the
source tree; without it the page has types, rules and defaults only.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return WriteSettingsReference(c.OutOrStdout(), source)
		},
	}
	c.Flags().StringVar(&source, "source", "", "the root folder of the source tree")
	return c
}

// WriteSettingsReference writes the settings reference to w, with the doc comments of the
// source tree in the folder source. If source is empty, it writes no comments.
func WriteSettingsReference(w io.Writer, source string) error {
	var docs *settings.Docs
	if source != "" {
		docs = settings.NewDocs(source, module)
	}
	if _, err := fmt.Fprint(w, referenceHead); err != nil {
		return err
	}
	sections, err := sections()
	if err != nil {
		return err
	}
	return settings.WriteReference(w, sections, docs)
}

// sections returns a section for the settings file itself and one for every registered
// plug-in whose settings are a struct.
func sections() ([]settings.Section, error) {
	list := []settings.Section{{Title: "The file", Defaults: &settings.File{}}}
	for _, id := range kernel.Plugins() {
		info, err := kernel.Lookup(id)
		if err != nil {
			return nil, err
		}
		defaults := info.New()
		if reflect.TypeOf(defaults).Elem().Kind() != reflect.Struct {
			continue
		}
		list = append(list, settings.Section{Title: "Plug-in `" + id + "`", Path: "plugins." + id, Defaults: defaults})
	}
	return list, nil
}
