package standin

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// PathWeights is the path under which the weight store serves models:
// GET /weights/{model}?bytes=N returns N bytes.
const PathWeights = "/weights/"

// weightChunk is the size of a write of the weight store, in bytes.
const weightChunk = 64 << 10

// WeightStoreConfig holds the settings of a stand-in weight store.
type WeightStoreConfig struct {
	// Listen is the store's address when it runs as a plug-in.
	Listen settings.Addr `json:"listen,omitempty"`
	// BytesPerSecond is the rate limit, which all concurrent downloads share.
	BytesPerSecond float64 `json:"bytes_per_second" validate:"gt=0"`
}

// DefaultWeightStoreConfig returns settings with a rate limit of 1 GB/s.
func DefaultWeightStoreConfig() WeightStoreConfig {
	return WeightStoreConfig{BytesPerSecond: 1e9}
}

// WeightStore is a stand-in of the rate-limited weight store, from which engines load
// the weights of models.
type WeightStore struct {
	limit *rate.Limiter
}

// NewWeightStore returns a weight store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	return &WeightStore{limit: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), weightChunk)}
}

// Handler returns the weight store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}", s.serveWeights)
	return mux
}

// serveWeights sends the requested number of zero bytes.
func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	remaining, fail := parseOffset(r.URL.Query().Get("bytes"))
	if fail != nil {
		fail.write(w)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(remaining, 10))
	chunk := make([]byte, weightChunk)
	for remaining > 0 {
		n := min(remaining, weightChunk)
		if s.limit.WaitN(r.Context(), int(n)) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
