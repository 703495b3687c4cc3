package replica

import "github.com/pkg/errors"

// sendHellos asks the other founders, once a tick, how far they got.
func (r *Replica) sendHellos() {
	for _, m := range r.founding.Members {
		if m.ID != r.founding.ID {
			r.sendHello(MsgHello, m.ID)
		}
	}
}

func (r *Replica) sendHello(t MessageType, to ID) {
	r.opts.Transport.Send(to, &Message{
		Type:     t,
		From:     r.founding.ID,
		To:       to,
		Founding: r.founding.message(),
	})
}

func (r *Replica) receiveHello(m *Message) error {
	if m.Founding == nil || m.To != r.founding.ID {
		return nil
	}
	changed, err := r.founding.receive(m.From, m.Founding)
	if errors.Is(err, errIDOfOtherDisk) {
		return r.takeNewIdentity()
	}
	if changed {
		if err := r.saveFounding(); err != nil {
			return err
		}
	}
	if m.Type == MsgHello {
		r.sendHello(MsgHelloReply, m.From)
	}
	return nil
}

// saveFounding makes a step of the forming last, and starts the core after the last.
func (r *Replica) saveFounding() error {
	if err := saveIdentity(r.opts.Disk, r.founding.identity); err != nil {
		return err
	}
	if r.founding.State != foundingDone {
		return nil
	}
	r.log.Info("group formed", "id", uint64(r.founding.ID), "members", len(r.founding.Members))
	r.startCore(restored{})
	return nil
}

// takeNewIdentity gives this disk a new ID: the one from the settings is bound to a
// disk that is gone, whose votes and acknowledgements this one does not know.
func (r *Replica) takeNewIdentity() error {
	old := r.founding.ID
	r.founding = founding{identity: joiningIdentity(&r.opts), seen: map[ID]*Founding{}}
	r.founding.LogCreated = true
	r.log.Warn("disk was replaced, waiting to be added", "old", uint64(old), "id", uint64(r.founding.ID))
	return r.saveFounding()
}
