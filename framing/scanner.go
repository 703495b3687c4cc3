package framing

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxLineBytes is the maximum length of a line. Servers refuse longer lines themselves.
	maxLineBytes = 64 << 10
	// maxPipelined is the maximum number of pipelined requests: requests that a caller has
	// sent before the answers to earlier ones.
	maxPipelined = 1024
)

// state is the position of the scanner in the HTTP/1.1 syntax.
type state int

const (
	// inHeader expects the request line or a line of the header.
	inHeader state = iota
	// inBody expects bytes of a body with a Content-Length.
	inBody
	// inChunkSize expects the line with the size of a chunk, inChunk the bytes of the
	// chunk, and inChunkEnd the line end after them.
	inChunkSize
	inChunk
	inChunkEnd
	// inTrailer expects a line after the last chunk.
	inTrailer
	// unparsable is the final state of a connection that is not valid HTTP/1.1 or exceeds
	// a limit. The server detects invalid HTTP/1.1, too.
	unparsable
)

// scanner parses the framing of the requests on a connection. It stores at most one line
// and one result for each pipelined request.
type scanner struct {
	state state
	line  []byte
	// remaining is the number of bytes left of a body or chunk.
	remaining int64
	// requestLineRead is set once the request line was read. Empty lines before the
	// request line are skipped.
	requestLineRead bool
	// length is the last valid Content-Length of the header. hasLength and chunked are set
	// if the header has a Content-Length and a Transfer-Encoding.
	length    int64
	hasLength bool
	chunked   bool
	// results holds, for each request whose header is complete and which the server has
	// not handled yet, whether its framing is ambiguous.
	results []bool
}

// consume scans bytes that the server has read.
func (s *scanner) consume(p []byte) {
	for len(p) > 0 && s.state != unparsable {
		switch s.state {
		case inBody, inChunk:
			n := min(int64(len(p)), s.remaining)
			p, s.remaining = p[n:], s.remaining-n
			if s.remaining == 0 {
				s.endBody()
			}
		default:
			p = s.consumeLine(p)
		}
	}
}

// endBody sets the state after the last byte of a body or chunk.
func (s *scanner) endBody() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.state = inHeader
}

// consumeLine scans bytes up to the end of a line and returns the bytes after it.
func (s *scanner) consumeLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.line = append(s.line, p...)
		if len(s.line) > maxLineBytes {
			s.fail()
		}
		return nil
	}
	line := strings.TrimSuffix(string(append(s.line, p[:end]...)), "\r")
	s.line = s.line[:0]
	s.processLine(line)
	return p[end+1:]
}

// processLine processes a complete line without its line end.
func (s *scanner) processLine(line string) {
	switch s.state {
	case inHeader:
		s.processHeaderLine(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		switch {
		case err != nil || n < 0:
			s.fail()
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.remaining = inChunk, n
		}
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if line == "" {
			s.state = inHeader
		}
	}
}

// processHeaderLine processes the request line, a header field, or the empty line that
// ends the header.
func (s *scanner) processHeaderLine(line string) {
	if line == "" {
		if s.requestLineRead {
			s.endHeader()
		}
		return
	}
	if !s.requestLineRead {
		s.requestLineRead = true
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil && n >= 0 {
			s.length = n
		}
		s.hasLength = true
	case "transfer-encoding":
		s.chunked = true
	}
}

// endHeader records whether the framing of the request is ambiguous, and sets the state for
// its body.
func (s *scanner) endHeader() {
	if len(s.results) >= maxPipelined {
		s.fail()
		return
	}
	s.results = append(s.results, s.hasLength && s.chunked)
	switch {
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.remaining = inBody, s.length
	}
	s.requestLineRead, s.hasLength, s.chunked, s.length = false, false, false, 0
}

// fail stops the scan of the connection. The server refuses what it cannot parse; if it
// continues to read, nextIsAmbiguous refuses every later request.
func (s *scanner) fail() { s.state, s.line = unparsable, nil }
