package replica

import "github.com/pkg/errors"

// sendHellos sends the state of group formation to the other founders and asks for
// theirs. It is called once a tick until the group has formed.
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

// receiveHello handles the state of another founder and answers a MsgHello. It also
// answers after the group has formed, for founders that have not finished.
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

// saveFounding saves the identity after a step of the formation, and starts the core after
// the last step.
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

// takeNewIdentity gives this replica a new ID, under which it waits to be added to the
// group. The ID from the settings is bound to a lost disk, whose votes and acknowledged
// entries this disk does not hold.
func (r *Replica) takeNewIdentity() error {
	old := r.founding.ID
	r.founding = founding{identity: joiningIdentity(&r.opts), seen: map[ID]*Founding{}}
	r.founding.LogCreated = true
	r.log.Warn("disk was replaced, waiting to be added", "old", uint64(old), "id", uint64(r.founding.ID))
	return r.saveFounding()
}
