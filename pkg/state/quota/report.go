package quota

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Report is a message from one member to another about its use of the limits.
type Report struct {
	// Sent is the time of the report in milliseconds of the sender's clock, and
	// Echo the Sent of the newest report of the receiver; zero for none.
	Sent uint64
	Echo uint64
	// Group identifies the members that the sender knows and those in touch with
	// it.
	Group uint64
	// LastGroup is the group that the sender has relied on last; zero for none.
	LastGroup uint64
	// Active asks for reports in return.
	Active bool
	Usage  []Usage
}

// Usage is the use of a caller at the sender of a report.
type Usage struct {
	Caller model.CallerName
	// Used counts the operations since the start of the process.
	Used uint64
	// Demand is the number of operations per second that were asked for.
	Demand float64
}

// Outgoing is a report with its receiver.
type Outgoing struct {
	To     model.InstanceID
	Report Report
}

func (c *caller) lastValue() value {
	if c.count == 0 {
		return c.acked
	}
	return c.sent[c.count-1]
}

// confirm moves the values that all members of the group know from sent to
// acked.
func (c *caller) confirm(acked uint64) {
	confirmed := 0
	for confirmed < c.count && c.sent[confirmed].sent <= acked {
		confirmed++
	}
	if confirmed == 0 {
		return
	}
	c.acked = c.sent[confirmed-1]
	copy(c.sent[:], c.sent[confirmed:c.count])
	c.count -= confirmed
	c.updateWeight()
}

func (c *caller) updateWeight() {
	c.weight = c.acked.demand
	for _, sent := range c.sent[:c.count] {
		c.weight = min(c.weight, sent.demand)
	}
}

// push records a value that is reported from now on. If there is no room, the
// oldest one counts as not known by all.
func (c *caller) push(added value) {
	if c.count == maxSent {
		c.acked.demand = min(c.acked.demand, c.sent[0].demand)
		copy(c.sent[:], c.sent[1:])
		c.count--
	}
	c.sent[c.count] = added
	c.count++
	c.changedAt = added.sent
	c.updateWeight()
}

// Tick updates the demand and returns the reports to send. It must be called
// every reportInterval.
func (m *Machine) Tick(now time.Duration) []Outgoing {
	m.advance(now)
	m.updatePeers()
	sent := uint64(m.now / time.Millisecond)
	if !m.registered || len(m.callers) == 0 || sent <= uint64(m.lastSent/time.Millisecond) {
		return nil
	}
	interval := (m.now - m.lastSent).Seconds()
	m.lastSent = m.now
	m.updateValues(sent, interval)
	var reports []Outgoing
	for _, p := range m.peers {
		if p.removedAt != 0 {
			continue
		}
		if report, due := m.reportTo(p, sent); due {
			reports = append(reports, Outgoing{To: p.id, Report: report})
		}
	}
	return reports
}

// updateValues updates the demand of the callers and the values to report.
func (m *Machine) updateValues(sent uint64, interval float64) {
	for _, name := range m.names {
		c := m.callers[name]
		if c.asked == 0 && m.now-c.lastUse > activeFor && c.lastValue().demand == 0 {
			continue
		}
		c.confirm(m.group.acked)
		asked := c.asked / interval
		gain := fallGain
		if asked > c.demand {
			gain = riseGain
		}
		c.demand += min(1, gain*interval/reportInterval.Seconds()) * (asked - c.demand)
		c.asked = 0
		if m.now-c.lastUse > 2*time.Second {
			c.demand = 0
		}
		last := c.lastValue()
		changed := c.used != last.used || c.demand != last.demand
		if changed && (m.isNear(c) || m.now-c.reported >= usualInterval) {
			c.reported = m.now
			c.push(value{sent: sent, used: c.used, demand: c.demand})
		}
	}
}

// isNear reports whether a caller is so near its limit, or this member so near
// its share, that use is reported at once.
func (m *Machine) isNear(c *caller) bool {
	m.fill(c, m.now)
	capacity := c.capacity(m)
	return c.tokens < capacity/2 || c.unacked() > m.share(c)*capacity/4
}

// reportTo returns the report to a peer. It has every value that the peer has
// not confirmed, so that a confirmation covers all values up to it.
func (m *Machine) reportTo(p *peer, sent uint64) (Report, bool) {
	report := Report{Sent: sent, Echo: p.sent, Group: m.group.id, LastGroup: m.group.agreedID, Active: m.now < m.activeUntil}
	for _, name := range m.names {
		c := m.callers[name]
		if c.changedAt > p.echo {
			last := c.lastValue()
			report.Usage = append(report.Usage, Usage{Caller: name, Used: last.used, Demand: last.demand})
		}
	}
	wanted := report.Active || m.now < m.wantedUntil || m.isNewPeer(p)
	due := wanted && (len(report.Usage) > 0 || m.isNewPeer(p) || m.now-p.sentAt >= answerInterval)
	if due {
		p.sentAt = m.now
	}
	return report, due
}

// isNewPeer reports whether a peer has become a member within the last meetFor and
// the two members have not heard each other yet. Reports are sent to it even while no
// caller is active, as what it may use before its first report must be charged.
func (m *Machine) isNewPeer(p *peer) bool {
	met := p.heard && p.echo != 0
	return !met && m.now-p.touchedAt < meetFor
}

// Receive processes the report of a peer. It returns the number of entries that
// were dropped because they are invalid; 1 stands for a whole report.
func (m *Machine) Receive(now time.Duration, from model.InstanceID, report Report) (dropped int) {
	m.advance(now)
	p := m.peer(from)
	if p == nil || p.removedAt != 0 {
		return 0
	}
	if report.Echo > uint64(m.now/time.Millisecond) || report.Sent == 0 || report.Sent > maxPeerUse {
		return 1
	}
	if report.Sent <= p.sent {
		return 0
	}
	wasSilent, first := p.silent, !p.heard
	if first {
		m.chargeUnreported(p)
	}
	p.sent, p.echo, p.group = report.Sent, max(p.echo, report.Echo), report.Group
	p.lastGroup = report.LastGroup
	p.heard, p.heardAt = true, m.now
	if report.Active {
		m.wantedUntil = m.now + wantedFor
	}
	for _, usage := range report.Usage {
		if !m.receiveUsage(p, usage, wasSilent, first) {
			dropped++
		}
	}
	m.updatePeers()
	return dropped
}

// chargeUnreported charges what a peer may have used before its first report,
// which says only where it begins. Before a caller had a limit nothing counted.
func (m *Machine) chargeUnreported(p *peer) {
	for _, c := range m.callers {
		m.fill(c, m.now)
		c.known -= c.rate * (m.now - max(p.touchedAt, c.createdAt)).Seconds() / m.size()
		c.bound(m)
	}
}

// receiveUsage charges what a peer has used since its last report. What was
// charged while it was silent is not charged again. The first report of a peer
// says where it begins, as does the first one after the caller got a limit here.
func (m *Machine) receiveUsage(p *peer, usage Usage, wasSilent, first bool) bool {
	c := m.callers[usage.Caller]
	if c == nil || usage.Used > maxPeerUse || !(usage.Demand >= 0 && usage.Demand <= maxDemand) {
		return false
	}
	use := p.use[usage.Caller]
	if use == nil {
		use = &peerUse{}
		p.use[usage.Caller] = use
		if first || m.now-c.createdAt < limitSpread {
			use.used = usage.Used
		}
		// A peer reports a caller within a second of its first operation. More
		// than it can run in twice that time was run before its limit was known.
		if most := uint64(c.capacity(m) + 2*c.rate); usage.Used-use.used > most {
			use.used = usage.Used - most
		}
	}
	if usage.Used < use.used {
		return false
	}
	m.fill(c, m.now)
	spent := float64(usage.Used - use.used)
	c.known -= spent
	if wasSilent {
		covered := min(spent, c.credit)
		spent -= covered
		c.credit -= covered
	}
	use.used = usage.Used
	use.demand = usage.Demand
	c.peerDemand = -1
	c.tokens -= spent
	c.bound(m)
	return true
}
