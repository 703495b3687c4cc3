package replica

// incomingSnapshot is a snapshot that a follower is receiving; data holds the chunks
// received so far.
type incomingSnapshot struct {
	meta snapshotMeta
	data []byte
}

// startSnapshot starts to stream the latest snapshot to an active follower that needs
// entries which have been compacted away.
func (c *core) startSnapshot(to ID, p *progress) {
	if !c.isActive(to) {
		return
	}
	p.become(stateSnapshot)
	p.snapshot = c.snap.Index
	p.offset = 0
	c.sendChunk(to, p)
}

// sendChunk sends the chunk at p.offset. The message has no data yet: the host reads it
// from the snapshot file (Replica.fillChunk).
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
		// The follower verifies the complete data, as a chunk may come from a damaged file.
		Checksum: c.snap.Checksum,
	})
}

// resendChunk resends an unanswered chunk after chunkResendHeartbeats. If the leader
// has a newer snapshot by then, the stream starts over with that one. It is called once a
// heartbeat.
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

// streaming reports whether a snapshot is being streamed to an active follower. The host
// delays the next snapshot meanwhile, as that would make the stream start over.
func (c *core) streaming() bool {
	for id, p := range c.progress {
		if p.state == stateSnapshot && c.isActive(id) {
			return true
		}
	}
	return false
}

// handleSnapshot adds a chunk to the incoming snapshot and answers with the offset of the
// next one. The last chunk installs the snapshot; if the checksum of the complete data is
// wrong, the stream starts over at offset zero.
//
// A log that holds the last entry of the snapshot stays: the entries after it may have been
// acknowledged to the leader, which counts them towards commits. Such a snapshot was sent before
// the acknowledgement arrived.
func (c *core) handleSnapshot(m *Message) {
	c.recordLeaderContact(m.From)
	if c.log.matches(m.Index, m.LogTerm) {
		c.log.commitTo(m.Index)
	}
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

// installSnapshot replaces the log by the received snapshot. The host sends the reply only
// after it has saved the snapshot.
func (c *core) installSnapshot(from ID) {
	in := c.incoming
	c.incoming = nil
	c.pendingSnap = &snapshot{meta: in.meta, data: in.data}
	c.log.reset(in.meta.Index, in.meta.Term)
	c.memberships = []membership{newMembership(in.meta.Index, in.meta.Members)}
	c.send(Message{Type: MsgAppendReply, To: from, Index: in.meta.Index})
}

// handleSnapshotReply sends the next chunk to a follower.
func (c *core) handleSnapshotReply(m *Message) {
	p := c.progress[m.From]
	if c.role != roleLeader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	if p.state != stateSnapshot || p.snapshot != m.Index || m.Index != c.snap.Index {
		return
	}
	// A reply with the same offset answers a chunk that was sent twice.
	if m.Offset == p.offset || m.Offset > c.snap.Size {
		return
	}
	p.offset = m.Offset
	c.sendChunk(m.From, p)
}
