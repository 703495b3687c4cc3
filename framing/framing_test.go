package framing

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	ping      = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"
	sized     = "POST /sized HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	chunked   = "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=1\r\nhello\r\n0\r\nTrailer: x\r\n\r\n"
	ambiguous = "POST /twofold HTTP/1.1\r\nHost: a\r\ncontent-length: 3\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
)

func TestScannerFollowsTheFramingOfAConnection(t *testing.T) {
	tests := map[string]struct {
		stream string
		want   []bool
	}{
		"no body":                         {ping + ping, []bool{false, false}},
		"content length":                  {sized + ping, []bool{false, false}},
		"chunks":                          {chunked + sized, []bool{false, false}},
		"length and chunks":               {ambiguous, []bool{true}},
		"length and chunks, after others": {sized + chunked + ambiguous, []bool{false, false, true}},
		"length and chunks, within the bytes of a body": {"POST / HTTP/1.1\r\nContent-Length: 91\r\n\r\n" + ambiguous + ping, []bool{false, false}},
		"empty lines between requests":                  {sized + "\r\n\r\n" + ping, []bool{false, false}},
		"lines without carriage return":                 {strings.ReplaceAll(ambiguous, "\r\n", "\n"), []bool{true}},
		"length of zero and chunks":                     {strings.Replace(ambiguous, "3", "0", 1), []bool{true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(test.stream)} {
				var s scanner
				for rest := test.stream; rest != ""; {
					n := min(step, len(rest))
					s.consume([]byte(rest[:n]))
					rest = rest[n:]
				}
				is.New(t).Equal(s.results, test.want)
			}
		})
	}
}

func TestScannerStopsAtInvalidFraming(t *testing.T) {
	tests := map[string]string{
		"chunk size is not a number":  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfive\r\nhello\r\n",
		"chunk size is negative":      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n",
		"line is too long":            "GET /" + strings.Repeat("x", maxLineBytes+1),
		"too many pipelined requests": strings.Repeat(ping, maxPipelined+1),
	}
	for name, stream := range tests {
		t.Run(name, func(t *testing.T) {
			var s scanner
			s.consume([]byte(stream))
			is.New(t).Equal(s.state, unparsable)
		})
	}
}

// serve starts a protected server that answers with the path and the body of a request.
// refused receives the address of each refused caller.
func serve(t *testing.T) (addr string, refused chan string) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused = make(chan string, 1)
	connections := make(chan net.Conn, 16)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
		}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			connections <- c
			return ctx
		},
	}
	Protect(s, func(remote string) { refused <- remote })
	go func() { _ = s.Serve(Listen(l)) }()
	t.Cleanup(func() {
		_ = s.Close()
		_, ok := (<-connections).(*net.TCPConn)
		is.True(ok) // the server's own ConnContext gets the unwrapped connection
	})
	return l.Addr().String(), refused
}

func TestAmbiguousFramingIsRefusedAndItsConnectionClosed(t *testing.T) {
	is := is.New(t)
	addr, refused := serve(t)
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, sized+chunked+ambiguous+ping)
	is.NoErr(err)
	in := bufio.NewReader(conn)
	for _, want := range []string{"/sized hello", "/chunked hello"} {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(string(body), want)
	}
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest)
	is.True(res.Close)
	_, err = io.ReadAll(res.Body)
	is.NoErr(err)
	_, err = in.ReadByte() // the request after the refused one is not served
	is.True(err != nil)
	is.Equal(<-refused, conn.LocalAddr().String())
}

// FuzzScanner checks that the result does not depend on how the bytes are split into reads.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{ping, sized, chunked, ambiguous, sized + chunked + ambiguous} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		var atOnce, bytewise scanner
		atOnce.consume([]byte(stream))
		for i := range len(stream) {
			bytewise.consume([]byte{stream[i]})
		}
		is := is.New(t)
		is.Equal(atOnce.state, bytewise.state)
		is.Equal(atOnce.results, bytewise.results)
	})
}
