package capacity

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/route"
)

const (
	// choicePolicy is the default policy of entries for choosing an endpoint.
	choicePolicy = "route.predicted"
	// choicesPerSize is the number of choices timed at each size.
	choicesPerSize = 200_000
	// promptTokens is the length of the prompts, which counts as short.
	promptTokens = 2_000
)

// choices measures the time of choosing an endpoint and the memory of the endpoint
// table.
func choices(_ string, o Options) ([]*Table, error) {
	t := &Table{
		Name:    "choice of endpoint",
		Method:  "route.predicted, short prompts, five availability zones, 200,000 choices a size",
		X:       "endpoints",
		Columns: []string{"us a choice", "B allocated a choice", "heap KB"},
	}
	for _, n := range o.Endpoints {
		if err := choiceRow(n, t); err != nil {
			return nil, err
		}
	}
	return []*Table{t}, nil
}

// choiceRow adds the measurement with n endpoints to t.
func choiceRow(n int, t *Table) error {
	info, err := kernel.Lookup(choicePolicy)
	if err != nil {
		return err
	}
	chooser, ok := info.New().(route.Chooser)
	if !ok {
		return errors.Errorf("plug-in %s does not implement route.Chooser", choicePolicy)
	}
	before := heapBytes()
	table := route.NewTable()
	now := time.Now()
	for i := range n {
		e := endpointOf(i)
		table.Upsert(now, e)
		table.SetLoad(e.Name, e.Load, now)
	}
	heap := heapBytes() - before
	view := table.View(dev.SmallModel)
	allocated, began := allocatedBytes(), time.Now()
	req := &route.Request{}
	for i := range choicesPerSize {
		*req = route.Request{
			Target: dev.SmallModel, Class: route.Short, PromptTokens: promptTokens, Zone: "zone-2", Prefix: uint64(i % 5000),
		}
		if _, err := chooser.Choose(now, req, view); err != nil {
			return err
		}
	}
	took := time.Since(began)
	t.add(float64(n),
		float64(took.Nanoseconds())/1000/choicesPerSize,
		(allocatedBytes()-allocated)/choicesPerSize, heap/1024)
	return nil
}
