package kernel

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// operatorReadTimeout bounds the time for reading the header of a request.
const operatorReadTimeout = 5 * time.Second

// operatorServer serves metrics and profiles over HTTP on the operator address.
type operatorServer struct {
	listener net.Listener
	server   *http.Server
}

var _ Runner = (*operatorServer)(nil)

// newOperatorServer listens on addr and returns a server for the metrics of set and of the
// process.
func newOperatorServer(addr settings.Addr, set *metrics.Set) (*operatorServer, error) {
	l, err := net.Listen("tcp", string(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen on operator address")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return &operatorServer{listener: l, server: &http.Server{Handler: mux, ReadHeaderTimeout: operatorReadTimeout}}, nil
}

// Run serves requests until ctx ends.
func (o *operatorServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = o.server.Close() })
	defer stop()
	err := o.server.Serve(o.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operator address")
}
