package framing

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxLineBytes bounds a line that is kept; servers refuse longer ones themselves.
	maxLineBytes = 64 << 10
	// maxAhead bounds the requests that a caller has sent ahead of their answers.
	maxAhead = 1024
)

// state is what comes next on a connection.
type state int

const (
	// inHeader is the request line or a line of the header.
	inHeader state = iota
	// inBody are bytes of a body with a length.
	inBody
	// inChunkSize is the line with the size of a chunk, inChunk its bytes and
	// inChunkEnd the line end after it.
	inChunkSize
	inChunk
	inChunkEnd
	// inTrailer is a line after the last chunk.
	inTrailer
	// lost is a connection on which no request can follow: what came is no HTTP/1.1,
	// which the server finds, too.
	lost
)

// scanner follows the requests on a connection. It holds no more than one line.
type scanner struct {
	state state
	line  []byte
	// left are the bytes left of a body or chunk.
	left int64
	// begun is set once the request line came; empty lines before it are passed over.
	begun bool
	// length is the last Content-Length of the header, and hasLength and chunked say
	// how the body is framed.
	length    int64
	hasLength bool
	chunked   bool
	// requests says for each request whose header is complete, and which was not yet
	// asked about, whether it is framed in two ways.
	requests []bool
}

// take follows the bytes that were read.
func (s *scanner) take(p []byte) {
	for len(p) > 0 && s.state != lost {
		switch s.state {
		case inBody, inChunk:
			n := min(int64(len(p)), s.left)
			p, s.left = p[n:], s.left-n
			if s.left == 0 {
				s.bodyEnded()
			}
		default:
			p = s.takeLine(p)
		}
	}
}

// bodyEnded goes on after the last byte of a body or chunk.
func (s *scanner) bodyEnded() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.state = inHeader
}

// takeLine takes bytes up to the end of a line and returns the others.
func (s *scanner) takeLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.line = append(s.line, p...)
		if len(s.line) > maxLineBytes {
			s.lose()
		}
		return nil
	}
	line := strings.TrimSuffix(string(append(s.line, p[:end]...)), "\r")
	s.line = s.line[:0]
	s.takeWhole(line)
	return p[end+1:]
}

func (s *scanner) takeWhole(line string) {
	switch s.state {
	case inHeader:
		s.headerLine(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		switch {
		case err != nil || n < 0:
			s.lose()
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.left = inChunk, n
		}
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if line == "" {
			s.state = inHeader
		}
	}
}

// headerLine takes the request line, a field, or the empty line after them.
func (s *scanner) headerLine(line string) {
	if line == "" {
		if s.begun {
			s.headerEnded()
		}
		return
	}
	if !s.begun {
		s.begun = true
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

func (s *scanner) headerEnded() {
	if len(s.requests) >= maxAhead {
		s.lose()
		return
	}
	s.requests = append(s.requests, s.hasLength && s.chunked)
	switch {
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.left = inBody, s.length
	}
	s.begun, s.hasLength, s.chunked, s.length = false, false, false, 0
}

// lose gives the connection up. The server refuses what it cannot read; should it read
// on, every later request is refused.
func (s *scanner) lose() { s.state, s.line = lost, nil }
