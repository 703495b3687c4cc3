package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRequestTargetIsForwardedUnchanged guards against "//" at the beginning of a path, which reached
// the endpoint as "http://".
func TestRequestTargetIsForwardedUnchanged(t *testing.T) {
	targets := map[string]int{
		"/open/1": 200, "/open//1": 200, "/open/a%2Fb?q=1": 200, "/open/1?": 200, "/open/1?a=//b": 200, `/open/"1"`: 200,
		"//open/1": 200, "//open/a%2fb": 200, "///open": 200, "//": 200, "//open/1?": 200, "//open/1?a=%2F&b": 200, "//open/1?a=http://x": 200, "//user@host:1/open": 200,
		"//open/é": 400, `//open/"1"`: 400, "//open/1#f": 400,
	}
	for target, status := range targets {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(200, "good"))
			d := *w.g.deployment.Load()
			d.Routes = append([]Route{{Name: "all", Host: "h", Prefix: "/", Kind: Repeatable, MaxEndpoints: 2, Anonymous: true, Services: singleService("desk")}}, d.Routes...)
			w.g.deployment.Store(d.Index())
			conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: attempt-1\r\nConnection: close\r\n\r\n", target)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = res.Body.Close()
			is.Equal(res.StatusCode, status)
			if status != 200 {
				is.Equal(w.arrivalCount(), 0)
				return
			}
			is.Equal(w.arrivals[0].RequestURI, target)
		})
	}
}
