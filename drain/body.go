package drain

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/framing"
)

const (
	// maxDiscardBytes and maxDiscardTime bound the rest of a body that is read before its request
	// is refused, so that the caller can use the connection again.
	maxDiscardBytes = 256 << 10
	maxDiscardTime  = 100 * time.Millisecond
	// lingerTime bounds how long a connection that is to be closed is read after an answer.
	lingerTime = 5 * time.Second
)

// DiscardBody reads the rest of the body of a request that is to be refused, within limits, and
// reports whether the connection can be used for another request. If it can't, the answer must say
// so, and Linger must be called after it. The body must not have been read to its end, and no read
// of it may have failed.
//
// Without a limit, net/http would read the rest before it writes the answer, however long that
// takes.
func DiscardBody(w http.ResponseWriter, r *http.Request, now time.Time) (reusable bool, err error) {
	switch {
	case r.Body == nil, r.Body == http.NoBody:
		return true, nil
	case r.ContentLength > maxDiscardBytes, r.Header.Get("Expect") != "":
		// The body of a caller that expects a go-ahead is sent only once it is read.
		return false, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(now.Add(maxDiscardTime)); err != nil {
		return false, errors.Wrap(err, "set the read deadline of the body")
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes+1); !errors.Is(err, io.EOF) {
		return false, nil
	}
	return true, errors.Wrap(control.SetReadDeadline(time.Time{}), "clear the read deadline of the body")
}

// Linger ends a connection on which a body is still on its way. The answer must have been written
// with a Content-Length. Linger reads until the caller has closed, because a connection that is
// closed with unread data is reset, and a reset can discard the answer before the caller has read
// it.
func Linger(w http.ResponseWriter, now time.Time) error {
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "send the answer")
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return errors.Wrap(err, "take over the connection")
	}
	defer func() { _ = conn.Close() }()
	if err := framing.CloseWrite(conn); err != nil {
		return errors.Wrap(err, "end the sending side")
	}
	if err := conn.SetReadDeadline(now.Add(lingerTime)); err != nil {
		return errors.Wrap(err, "set the read deadline of the connection")
	}
	// The caller ends the connection, or the deadline does.
	_, _ = io.Copy(io.Discard, conn)
	return nil
}
