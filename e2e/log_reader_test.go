package e2e

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

// A process whose log lost its reader was ended by its next line, with all
// requests in flight.
func TestProcessEndsWithTheReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, dev.Small(""))
	served := func() {
		for _, entry := range s.files.Entries {
			s.eventually("entry serves", func() bool { return postPrompt(entry, "hello", false).complete(false) })
		}
	}
	served()
	for _, name := range []string{"control-1", "scribe-1", "entry-1"} {
		s.kill(name)
		unread, log, err := os.Pipe()
		is.NoErr(err)
		s.startTo(name, log)
		is.NoErr(log.Close())
		is.NoErr(unread.Close())
	}
	served()
	for _, name := range []string{"entry-1", "scribe-1", "control-1"} {
		is.NoErr(s.stop(name))
	}
}
