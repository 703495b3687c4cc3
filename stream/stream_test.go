package stream

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

var (
	current        = wire.Attempt{Request: [16]byte{1}, Number: 2}
	otherRequest   = wire.Attempt{Request: [16]byte{2}, Number: 2}
	earlierAttempt = wire.Attempt{Request: [16]byte{1}, Number: 1}
)

func chunk(a wire.Attempt, seq uint64, offset int64, data string) *wire.Chunk {
	return &wire.Chunk{Attempt: a, Seq: seq, Offset: offset, Data: []byte(data)}
}

func TestAssemblerNeverAcceptsBrokenAnswerAsComplete(t *testing.T) {
	tests := map[string]struct {
		from     int64
		messages []wire.Message
		want     string
		complete bool
		broken   bool
	}{
		"in order":                {messages: []wire.Message{chunk(current, 1, 0, "ab"), chunk(current, 2, 2, "c"), &wire.End{Attempt: current, Chunks: 2, Bytes: 3}}, want: "abc", complete: true},
		"repeated chunk":          {messages: []wire.Message{chunk(current, 1, 0, "ab"), chunk(current, 1, 0, "ab"), &wire.End{Attempt: current, Chunks: 1, Bytes: 2}}, want: "ab", complete: true},
		"missing chunk":           {messages: []wire.Message{chunk(current, 1, 0, "ab"), chunk(current, 3, 4, "e")}, want: "ab", broken: true},
		"chunk of other request":  {messages: []wire.Message{chunk(otherRequest, 1, 0, "xy")}, broken: true},
		"late chunk of attempt 1": {messages: []wire.Message{chunk(current, 1, 0, "ab"), chunk(earlierAttempt, 2, 2, "zz")}, want: "ab", broken: true},
		"no end message":          {messages: []wire.Message{chunk(current, 1, 0, "ab")}, want: "ab"},
		"end counts more chunks":  {messages: []wire.Message{chunk(current, 1, 0, "ab"), &wire.End{Attempt: current, Chunks: 2, Bytes: 3}}, want: "ab", broken: true},
		"end of other request":    {messages: []wire.Message{&wire.End{Attempt: otherRequest}}, broken: true},
		"chunk after the end":     {messages: []wire.Message{&wire.End{Attempt: current}, chunk(current, 1, 0, "ab")}, complete: true, broken: true},
		"resumed at offset":       {from: 5, messages: []wire.Message{chunk(current, 1, 5, "fg"), &wire.End{Attempt: current, Chunks: 1, Bytes: 7}}, want: "fg", complete: true},
		"resumed past offset":     {from: 5, messages: []wire.Message{chunk(current, 1, 6, "g")}, broken: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAssembler(current, tc.from)
			got, err := "", error(nil)
			for _, m := range tc.messages {
				var data []byte
				switch m := m.(type) {
				case *wire.Chunk:
					data, err = a.Chunk(m)
				case *wire.End:
					err = a.End(m)
				}
				got += string(data)
				if err != nil {
					break
				}
			}
			is.Equal(got, tc.want)
			is.Equal(a.Complete(), tc.complete)
			is.Equal(err != nil, tc.broken)
			if err != nil {
				is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
			}
		})
	}
}

func TestBudgetNeverExceedsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Stream: 50, Account: 80, Process: 120}
		b := NewBudget(limits)
		reservations := []*Reservation{b.Account("a"), b.Account("a"), b.Account("b"), b.Account("c")}
		held := make([]int64, len(reservations))
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				i := rapid.IntRange(0, len(reservations)-1).Draw(t, "i")
				n := rapid.Int64Range(0, 60).Draw(t, "n")
				if reservations[i].TryGrow(n) {
					held[i] += n
				}
			},
			"shrink": func(t *rapid.T) {
				i := rapid.IntRange(0, len(reservations)-1).Draw(t, "i")
				n := rapid.Int64Range(0, held[i]).Draw(t, "n")
				reservations[i].Shrink(n)
				held[i] -= n
			},
			"close": func(t *rapid.T) {
				i := rapid.IntRange(0, len(reservations)-1).Draw(t, "i")
				reservations[i].Close()
				held[i] = 0
			},
			"": func(t *rapid.T) {
				now, _ := b.Held()
				if now != held[0]+held[1]+held[2]+held[3] || now > limits.Process {
					t.Fatalf("budget holds %d bytes, reservations hold %v", now, held)
				}
				if held[0]+held[1] > limits.Account {
					t.Fatalf("account a holds %d bytes, more than its limit", held[0]+held[1])
				}
			},
		})
	})
}

func TestBufferBlocksWriterWithoutLosingData(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(Limits{Stream: 4, Account: 100, Process: 100})
	b := NewBuffer(budget.Account("a"))
	ctx := context.Background()
	go func() {
		for _, part := range []string{"abc", "def", "ghi"} {
			if b.Write(ctx, []byte(part)) != nil {
				return
			}
		}
		b.Finish(io.EOF)
	}()
	got := ""
	for {
		part, err := b.Read(ctx)
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		got += string(part)
	}
	is.Equal(got, "abcdefghi")
	b.Close()
	now, peak := budget.Held()
	is.Equal(now, int64(0))
	is.True(peak <= 4)
}

func TestBufferCloseUnblocksWriter(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(NewBudget(Limits{Stream: 1, Account: 1, Process: 1}).Account("a"))
	is.NoErr(b.Write(context.Background(), []byte("a")))
	done := make(chan error, 1)
	go func() { done <- b.Write(context.Background(), []byte("b")) }()
	b.Close()
	is.Equal(<-done, ErrClosed)
}

func FuzzAssembler(f *testing.F) {
	f.Add([]byte{1, 0, 2, 2, 0, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		a := NewAssembler(current, 0)
		var delivered int64
		for i := 0; i+1 < len(script); i += 2 {
			data, err := a.Chunk(chunk(current, uint64(script[i]), int64(script[i+1]), "x"))
			delivered += int64(len(data))
			if delivered != a.Offset() {
				t.Fatalf("delivered %d bytes, but the offset is %d", delivered, a.Offset())
			}
			if err != nil {
				return
			}
		}
	})
}
