package replica

// incomingSnapshot is a snapshot of which a follower holds the first chunks.
type incomingSnapshot struct {
	meta snapshotMeta
	data []byte
}

// startSnapshot begins to stream the latest snapshot to a follower that needs
// entries which are compacted away.
func (c *core) startSnapshot(to ID, p *progress) {
	if !c.isActive(to) {
		return
	}
	p.become(stateSnapshot)
	p.snapshot = c.snap.Index
	p.offset = 0
	c.sendChunk(to, p)
}

// sendChunk asks the host to send the chunk that the follower wants; the host fills
// in the data from its file.
func (c *core) sendChunk(to ID, p *progress) {
	p.chunkAge = 0
	c.send(Message{
		Type:    MsgSnapshot,
		To:      to,
		Index:   c.snap.Index,
		LogTerm: c.snap.Term,
		Members: c.snap.Members,
		Size:    c.snap.Size,
		Offset:  p.offset,
		// The follower checks the whole: a chunk may come from a damaged file.
		Checksum: c.snap.Checksum,
	})
}

// resendChunk sends a chunk again that found no answer. A newer snapshot starts over.
func (c *core) resendChunk(to ID, p *progress) {
	if p.state != stateSnapshot {
		return
	}
	p.chunkAge++
	if p.chunkAge < chunkResendHeartbeats {
		return
	}
	if p.snapshot != c.snap.Index {
		p.snapshot = c.snap.Index
		p.offset = 0
	}
	c.sendChunk(to, p)
}

// streaming says whether a live follower is being sent a snapshot. The host takes no
// new one meanwhile, which would make the stream start over.
func (c *core) streaming() bool {
	for id, p := range c.progress {
		if p.state == stateSnapshot && c.isActive(id) {
			return true
		}
	}
	return false
}

// handleSnapshot takes in a chunk and answers with the offset of the next one.
func (c *core) handleSnapshot(m *Message) {
	c.recordLeaderContact(m.From)
	if m.Index <= c.log.committed {
		c.incoming = nil
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.committed})
		return
	}
	if c.incoming == nil || c.incoming.meta.Index != m.Index || c.incoming.meta.Term != m.LogTerm {
		c.incoming = &incomingSnapshot{meta: snapshotMeta{
			Index:    m.Index,
			Term:     m.LogTerm,
			Members:  m.Members,
			Size:     m.Size,
			Checksum: m.Checksum,
		}}
	}
	in := c.incoming
	have := uint64(len(in.data))
	if m.Offset == have && have+uint64(len(m.Data)) <= min(in.meta.Size, maxSnapshotBytes) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.meta.Size {
		if checksum(in.data) == in.meta.Checksum {
			c.installSnapshot(m.From)
			return
		}
		in.data = nil
	}
	c.send(Message{
		Type:   MsgSnapshotReply,
		To:     m.From,
		Index:  m.Index,
		Offset: uint64(len(in.data)),
	})
}

// installSnapshot replaces the log by a complete snapshot. The reply leaves only
// after the host has saved it.
func (c *core) installSnapshot(from ID) {
	in := c.incoming
	c.incoming = nil
	c.pendingSnap = &snapshot{meta: in.meta, data: in.data}
	c.log.reset(in.meta.Index, in.meta.Term)
	c.memberships = []membership{newMembership(in.meta.Index, in.meta.Members)}
	c.send(Message{Type: MsgAppendReply, To: from, Index: in.meta.Index})
}

func (c *core) handleSnapshotReply(m *Message) {
	p := c.progress[m.From]
	if c.role != roleLeader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	if p.state != stateSnapshot || p.snapshot != m.Index || m.Index != c.snap.Index {
		return
	}
	// The same offset again answers a chunk that was sent twice.
	if m.Offset == p.offset || m.Offset > c.snap.Size {
		return
	}
	p.offset = m.Offset
	c.sendChunk(m.From, p)
}
