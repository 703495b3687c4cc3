package operator

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPromptContinuesAfterAFault(t *testing.T) {
	is := is.New(t)
	var out, faults bytes.Buffer
	f := newFakeControl()
	p := &Prompt{
		Session: newTestSession(f),
		In:      io.NopCloser(strings.NewReader("shwo zones\nhelp\ntake zone hall out\n\nexit\nbring zone hall in\n")),
		Out:     &out,
		Err:     &faults,
	}
	is.NoErr(p.Run(context.Background()))
	is.True(strings.Contains(faults.String(), `did you mean "show"?`))
	is.True(strings.Contains(out.String(), "accepted as revision 8"))
	is.True(strings.Contains(out.String(), "history [from <revision>]"))
	is.Equal(len(f.audit), 1)
}

func TestPromptCompletes(t *testing.T) {
	is := is.New(t)
	s := newTestSession(newFakeControl())
	_, err := s.LoadNames(context.Background())
	is.NoErr(err)
	suffixes, length := completer{s}.Do([]rune("take zone ha"), 12)
	is.Equal(length, 2)
	is.Equal(len(suffixes), 1)
	is.Equal(string(suffixes[0]), "ll ")
}
