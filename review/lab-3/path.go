package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// pathCase: a client asks for paths on a route with the prefix "/".
func pathCase(l *lab) (bool, error) {
	if _, _, err := l.startAll(1); err != nil {
		return false, err
	}
	if err := l.publish(configuration(7, 0, route("r-root", "/", "idempotent"))); err != nil {
		return false, err
	}
	w, err := l.newWorker(0, 0)
	if err != nil {
		return false, err
	}
	if !await(20*time.Second, func() bool { return l.ready(0) }) {
		return false, errors.New("not ready")
	}
	time.Sleep(2 * time.Second)
	paths := []string{"/status/2f", "/status//2f", "/status/%2e%2e/2f?a=b&&c", "/status/2f?", "/a/../b", "/a%2Fb", "/s;x=1"}
	if l.trouble {
		paths = append(paths, "//status/2f", "//", "///x")
	}
	broken := false
	for i, path := range paths {
		conn, err := net.Dial("tcp", l.addr(1, 0, portFrontend))
		if err != nil {
			return false, err
		}
		before := len(w.ran())
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nRosemaryproxy-Attempt-Id: p%d\r\nRosemaryproxy-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n\r\n", path, i, key)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			l.note("path %q: %v", path, err)
			continue
		}
		body, _ := io.ReadAll(res.Body)
		conn.Close()
		line := "nothing"
		if ran := w.ran(); len(ran) > before {
			line = ran[len(ran)-1].line
		}
		l.note("path %q: status %d, body %q, the worker got %q", path, res.StatusCode, body, line)
		if line != "nothing" && line != path {
			broken = true
		}
	}
	return broken, nil
}
