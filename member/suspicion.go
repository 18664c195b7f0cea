package member

import (
	"net/netip"
	"slices"
	"time"

	"filberthold/model"
)

// excusePause gives all hosts time if this process did not run: their messages wait to
// be read.
func (d *Detector) excusePause(now time.Time) {
	pause := now.Sub(d.lastTickAt) - TickInterval
	if !d.lastTickAt.IsZero() && pause > maxTickDelay {
		for _, host := range d.table.sorted {
			host.postpone(pause)
		}
	}
	d.lastTickAt = now
}

// postpone moves the times from which the host is silent or gone.
func (r *record) postpone(pause time.Duration) {
	if !r.silentAt.IsZero() {
		r.silentAt = r.silentAt.Add(pause)
	}
	if !r.askedUntil.IsZero() {
		r.askedUntil = r.askedUntil.Add(pause)
	}
	if !r.goneAt.IsZero() {
		r.goneAt = r.goneAt.Add(pause)
	}
}

// findSilent records the hosts that have fallen silent or were reported gone by their
// monitors, and returns the suspicions to the hosts of this region.
func (d *Detector) findSilent(own Heartbeat, now time.Time) []Send {
	sends := d.repeatRequests(own, now)
	var suspects []*record
	found := 0
	for _, host := range d.table.sorted {
		name := host.heartbeat.Host
		if _, isKnown := d.goneSince[name]; isKnown || host.isAlive(now) {
			continue
		}
		d.goneSince[name] = now
		d.table.extendAddress(host.heartbeat.IP, now.Add(goneAddressExpiry))
		if host.heartbeat.IsLeaving {
			continue
		}
		found++
		if !host.isSilent(now) {
			d.changes.Reported = append(d.changes.Reported, name)
			continue
		}
		d.changes.Silent = append(d.changes.Silent, name)
		if host.heartbeat.IsMonitored {
			suspects = append(suspects, host)
		}
	}
	if found > 0 {
		d.askOrphans(own, now)
		d.askAllIfCutOff(now)
	}
	d.removeGone(now)
	return append(sends, d.suspect(own, suspects, now)...)
}

// askAllIfCutOff asks all hosts for an answer if all hosts that this one monitors are
// silent: it may be cut off, and then no monitor can tell it who is gone.
func (d *Detector) askAllIfCutOff(now time.Time) {
	watched := 0
	for _, host := range d.table.sorted {
		if host.silentAt.IsZero() {
			continue
		}
		if !host.isSilent(now) {
			return
		}
		watched++
	}
	if watched < 2 || now.Before(d.verifyAfter) {
		return
	}
	d.verifyAfter = now.Add(verifyInterval)
	for _, host := range d.table.sorted {
		if host.silentAt.IsZero() && host.isAlive(now) {
			d.ask(host, now)
		}
	}
}

// ask expects an answer of a host, which is contacted at this tick.
func (d *Detector) ask(host *record, now time.Time) {
	host.askedUntil = now.Add(answerTimeout)
	d.table.addContact(host.heartbeat.IP, now)
}

// repeatRequests asks hosts again that did not answer. One that did not answer
// maxUnanswered times is silent.
func (d *Detector) repeatRequests(own Heartbeat, now time.Time) []Send {
	var sends []Send
	for _, host := range d.table.sorted {
		if host.askedUntil.IsZero() || now.Before(host.askedUntil) {
			continue
		}
		host.askedUntil = time.Time{}
		if host.unanswered++; host.unanswered >= maxUnanswered {
			host.silentAt = now
			continue
		}
		host.askedUntil = now.Add(answerTimeout)
		sends = append(sends, d.request(own, host.heartbeat.IP, now))
	}
	return sends
}

// removeGone removes the hosts that have been gone for goneAddressExpiry.
func (d *Detector) removeGone(now time.Time) {
	for name, since := range d.goneSince {
		if now.Sub(since) > goneAddressExpiry {
			delete(d.goneSince, name)
			d.table.remove(name)
		}
	}
}

// suspect returns the suspicions of hosts, to the hosts of this region and to the
// suspected hosts themselves.
func (d *Detector) suspect(own Heartbeat, suspects []*record, now time.Time) []Send {
	if len(suspects) == 0 {
		return nil
	}
	var to []netip.Addr
	for _, host := range d.table.sorted {
		if host.heartbeat.Region == own.Region && host.isAlive(now) {
			to = append(to, host.heartbeat.IP)
		}
	}
	var sends []Send
	for batch := range slices.Chunk(suspects, maxSuspects) {
		message := Suspicion{From: own.Host}
		addresses := slices.Clone(to)
		for _, host := range batch {
			message.Hosts = append(message.Hosts, Run{Host: host.heartbeat.Host, Incarnation: host.heartbeat.Incarnation})
			addresses = append(addresses, host.heartbeat.IP)
		}
		sends = append(sends, Send{To: addresses, Message: message})
	}
	return sends
}

// Receive applies a message from an address. It returns the answers, and whether the
// hosts that are alive or ready have changed.
func (d *Detector) Receive(message Message, from netip.Addr, own Heartbeat, now time.Time) ([]Send, bool) {
	switch message := message.(type) {
	case Announcement:
		return d.receiveAnnouncement(message, from, own, now)
	case Beat:
		return d.receiveBeat(message, from, own, now)
	case Suspicion:
		return d.receiveSuspicion(message, own, now), false
	}
	return nil, false
}

func (d *Detector) receiveAnnouncement(message Announcement, from netip.Addr, own Heartbeat, now time.Time) ([]Send, bool) {
	sends := d.tellReturned(message.Heartbeat.Host, message.Heartbeat.Incarnation, from, own, now)
	hasChanged := d.table.Observe(message.Heartbeat, now)
	if hasChanged {
		// A host that has just started needs a heartbeat of this host.
		delete(d.sentAt, message.Heartbeat.IP)
	}
	d.recordReturn(message.Heartbeat.Host, now)
	if message.RequestsAnswer {
		sends = append(sends, d.answer(own, from, now))
	}
	return sends, hasChanged
}

// answer returns the announcement of this host to an address.
func (d *Detector) answer(own Heartbeat, to netip.Addr, now time.Time) Send {
	own.IsMonitored = len(d.table.usable(now)) > maxDirectHosts
	own.Interval = TickInterval
	if own.IsMonitored && !slices.Contains(d.monitors, to) {
		own.Interval = 0
	}
	return Send{To: []netip.Addr{to}, Message: Announcement{Heartbeat: own}}
}

func (d *Detector) receiveBeat(message Beat, from netip.Addr, own Heartbeat, now time.Time) ([]Send, bool) {
	sends := d.tellReturned(message.Host, message.Incarnation, from, own, now)
	isKnown := d.table.Beat(message, now)
	d.recordReturn(message.Host, now)
	if !isKnown && message.Host != own.Host {
		sends = append(sends, d.request(own, from, now))
	}
	return sends, isKnown && len(sends) > 0
}

// request returns an announcement that asks the host at an address for its own.
func (d *Detector) request(own Heartbeat, to netip.Addr, now time.Time) Send {
	send := d.answer(own, to, now)
	announcement := send.Message.(Announcement)
	announcement.RequestsAnswer = true
	return Send{To: send.To, Message: announcement}
}

// Touch records that a message of another kind was received from a host at an address.
// It returns the request for its announcement if this host needs one.
func (d *Detector) Touch(run Run, from netip.Addr, own Heartbeat, now time.Time) []Send {
	isKnown := d.table.Touch(run.Host, run.Incarnation, now)
	d.recordReturn(run.Host, now)
	if isKnown {
		return nil
	}
	return []Send{d.request(own, from, now)}
}

// tellReturned returns the suspicion to a host that its region believed gone, so that it
// announces itself to all hosts.
func (d *Detector) tellReturned(host model.HostName, incarnation int64, from netip.Addr, own Heartbeat, now time.Time) []Send {
	known := d.table.hosts[host]
	if known == nil || known.heartbeat.Incarnation != incarnation || !known.heartbeat.IsMonitored || known.isAlive(now) {
		return nil
	}
	return []Send{{To: []netip.Addr{from}, Message: Suspicion{From: own.Host, Hosts: []Run{{Host: host, Incarnation: incarnation}}}}}
}

// recordReturn records a host that was gone and is alive again.
func (d *Detector) recordReturn(host model.HostName, now time.Time) {
	known := d.table.hosts[host]
	if _, wasGone := d.goneSince[host]; !wasGone || known == nil || !known.isAlive(now) {
		return
	}
	delete(d.goneSince, host)
	if !known.heartbeat.IsLeaving {
		d.changes.Returned = append(d.changes.Returned, host)
	}
}

func (d *Detector) receiveSuspicion(message Suspicion, own Heartbeat, now time.Time) []Send {
	var sends []Send
	for _, suspect := range message.Hosts {
		if suspect.Host == own.Host {
			sends = append(sends, d.refute(suspect, own, now)...)
			continue
		}
		known := d.table.hosts[suspect.Host]
		if known == nil || known.heartbeat.Incarnation != suspect.Incarnation || known.heartbeat.IsLeaving {
			continue
		}
		if d.hearsRegularly(known, now) {
			// This host monitors it too. The suspicion may not have reached it.
			sends = append(sends, Send{To: []netip.Addr{known.heartbeat.IP}, Message: Suspicion{From: message.From, Hosts: []Run{suspect}}})
			continue
		}
		known.suspect(message.From, now)
	}
	return sends
}

// hearsRegularly reports whether this host monitors a host and no beat of it is missing.
func (d *Detector) hearsRegularly(known *record, now time.Time) bool {
	return known.heartbeat.Interval > 0 && now.Sub(known.receivedAt) < known.heartbeat.Interval+heartbeatDelay
}

// refute returns the announcement by which this host answers a suspicion, at most one
// in each TickInterval.
func (d *Detector) refute(suspect Run, own Heartbeat, now time.Time) []Send {
	if suspect.Incarnation != own.Incarnation || now.Before(d.announceAfter) {
		return nil
	}
	d.announceAfter = now.Add(TickInterval)
	return d.Announce(own, now)
}
