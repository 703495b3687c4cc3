package replica_test

import (
	"context"
	"fmt"
	"os"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// counter is a state machine that counts its commands.
type counter struct{ n int }

func (c *counter) Apply(uint64, []byte) []byte {
	c.n++
	return fmt.Append(nil, c.n)
}

func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, c.n), nil }

func (c *counter) Restore(b []byte) error {
	_, err := fmt.Sscan(string(b), &c.n)
	return err
}

// noTransport is the transport of a group with one member, which sends no messages.
type noTransport struct{}

func (noTransport) Send(replica.ID, *replica.Message) {}

// A group of one needs no other VM: its only member becomes leader at once.
func Example() {
	dir, _ := os.MkdirTemp("", "replica")
	defer os.RemoveAll(dir)
	disk, err := replica.OpenOSDisk(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer disk.Close()
	r, err := replica.Open(replica.Options{
		ID:           1,
		Bootstrap:    map[replica.ID]string{1: "10.0.0.1:7000"},
		Disk:         disk,
		StateMachine: &counter{},
		Transport:    noTransport{},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	for range 3 {
		result, err := r.Propose(ctx, []byte("count"))
		fmt.Println(string(result), err)
	}
	stop()
	fmt.Println(<-done)
	// Output:
	// 1 <nil>
	// 2 <nil>
	// 3 <nil>
	// <nil>
}
