package gossip

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"
)

const (
	// conditionInterval is the time between two messages of a host to the relays of its
	// region, and between two messages that a relay sends.
	conditionInterval = 250 * time.Millisecond
	// maxObserved, maxOutward and maxAlongTree bound the conditions in a message to a relay,
	// to another region and along a tree. Others wait for the next one. Together with the
	// failure detection, a host then sends less than 4 KB a second whatever the endpoints do.
	maxObserved  = 4
	maxOutward   = 6
	maxAlongTree = 12
	// maxTickDelay is how late a tick may be. After a longer pause of this process, the
	// reports that wait in its socket are outdated.
	maxTickDelay = time.Second
)

// conditionHop is a part of the way of a conditionReport.
type conditionHop uint8

const (
	// toRelay is the way from the host that observed the conditions to a relay of its
	// region.
	toRelay conditionHop = iota + 1
	// toRegion is the way from a relay to the relay of the same tree in another region.
	toRegion
	// alongTree is the way from the relay to the hosts of its region.
	alongTree
)

// conditionReport holds conditions of endpoints.
type conditionReport struct {
	Hop conditionHop `cbor:"1,keyasint"`
	// Tree is the index of the tree by which the report is passed on.
	Tree uint8 `cbor:"2,keyasint,omitempty"`
	// Conditions holds the condition of the endpoint with the same index in Endpoints, and
	// confirmationFlag if it is a confirmation.
	Endpoints  []steer.EndpointID `cbor:"3,keyasint"`
	Conditions []byte             `cbor:"4,keyasint"`
}

// confirmationFlag is set in the byte of a condition that was told before.
const confirmationFlag = 1 << 7

// check returns an error if the report cannot be passed on.
func (r conditionReport) check() error {
	if r.Hop < toRelay || r.Hop > alongTree || r.Tree >= treeCount {
		return errors.New("unknown way or tree")
	}
	if len(r.Endpoints) != len(r.Conditions) || len(r.Endpoints) > maxAlongTree {
		return errors.New("endpoints and conditions differ in number, or are too many")
	}
	return nil
}

func (r conditionReport) conditions() []steer.EndpointCondition {
	conditions := make([]steer.EndpointCondition, len(r.Endpoints))
	for i, endpoint := range r.Endpoints {
		value := r.Conditions[i]
		conditions[i] = steer.EndpointCondition{
			Endpoint: endpoint, Condition: steer.Condition(value) & steer.AllConditions, IsConfirmation: value&confirmationFlag != 0,
		}
	}
	return conditions
}

// conditionSend is a report with the addresses to which it must be sent.
type conditionSend struct {
	to     []netip.Addr
	report conditionReport
}

func newConditionSend(hop conditionHop, tree int, conditions []steer.EndpointCondition, to ...netip.Addr) conditionSend {
	send := conditionSend{to: to, report: conditionReport{Hop: hop, Tree: uint8(tree)}}
	for _, told := range conditions {
		send.report.Endpoints = append(send.report.Endpoints, told.Endpoint)
		value := byte(told.Condition)
		if told.IsConfirmation {
			value |= confirmationFlag
		}
		send.report.Conditions = append(send.report.Conditions, value)
	}
	return send
}

// conditionRelay decides to which hosts conditions of endpoints are sent. Each host sends
// what it observes to the two relays of its region. These tell the relays of the other
// regions, and all hosts of their own region along a tree. A conditionRelay does no I/O
// and is not safe for concurrent use.
type conditionRelay struct {
	self model.HostName
	// own and others are the hosts for which trees and regions were built.
	own    member.Heartbeat
	others []member.Heartbeat
	// trees holds the trees of this region, and regions the relays of the others.
	trees   [treeCount]tree
	regions [treeCount][]netip.Addr
	// observed holds, for each tree, what this host must tell its relay.
	observed [treeCount]conditionQueue
	// inward and outward hold what this host, as the relay of a tree, must tell the hosts of
	// its region and the relays of the others.
	inward  [treeCount]conditionQueue
	outward [treeCount]conditionQueue
	// tickedAt is the time of the last tick, and ignoreUntil the time until which reports are
	// ignored after a pause. Both are zero before the first one.
	tickedAt    time.Time
	ignoreUntil time.Time
}

func newConditionRelay(self model.HostName) *conditionRelay { return &conditionRelay{self: self} }

// setHosts replaces this host's state and the other hosts that are alive. There are none if
// conditions are not told. What was sent a short time ago is sent again if it may have gone
// to a host that is lost.
func (c *conditionRelay) setHosts(own member.Heartbeat, others []member.Heartbeat, now time.Time) {
	if isSamePlace(own, c.own) && slices.EqualFunc(others, c.others, isSamePlace) {
		return
	}
	c.own, c.others = own, others
	before := c.trees
	c.build()
	for i := range c.trees {
		c.inward[i].repeat(now)
		c.outward[i].repeat(now)
		if c.trees[i].relay() != before[i].relay() {
			c.observed[i].repeat(now)
		}
	}
}

// build builds the trees of this region and lists the relays of the others.
func (c *conditionRelay) build() {
	byRegion := make(map[model.RegionName][]member.Heartbeat)
	if len(c.others) > 0 && !c.own.IsLeaving {
		byRegion[c.own.Region] = append(byRegion[c.own.Region], c.own)
	}
	for _, host := range c.others {
		byRegion[host.Region] = append(byRegion[host.Region], host)
	}
	c.trees, c.regions = [treeCount]tree{}, [treeCount][]netip.Addr{}
	for name, inRegion := range byRegion {
		trees := newTrees(inRegion)
		if name == c.own.Region {
			c.trees = trees
			continue
		}
		for i, other := range trees {
			c.regions[i] = append(c.regions[i], other.relay())
		}
	}
}

func isSamePlace(a, b member.Heartbeat) bool {
	return a.Host == b.Host && a.Region == b.Region && a.IP == b.IP && a.IsLeaving == b.IsLeaving
}

// tick returns the reports that are due, with what this host has observed since the last
// call, at most maxObserved. It must be called every conditionInterval.
func (c *conditionRelay) tick(observed []steer.EndpointCondition, now time.Time) []conditionSend {
	if c.isPaused(now) {
		c.ignoreUntil = now.Add(conditionInterval)
	}
	c.tickedAt = now
	var sends []conditionSend
	for i := range c.trees {
		for _, told := range observed {
			c.observed[i].add(told, now)
		}
		sends = append(sends, c.tellRelay(i, now)...)
		if due := c.outward[i].take(maxOutward, now); len(due) > 0 {
			sends = append(sends, newConditionSend(toRegion, i, due, c.regions[i]...))
		}
		if due := c.inward[i].take(maxAlongTree, now); len(due) > 0 {
			sends = append(sends, newConditionSend(alongTree, i, due, c.trees[i].next(c.self)...))
		}
	}
	return sends
}

// tellRelay returns the report to the relay of a tree, or queues the conditions if this host
// is the relay.
func (c *conditionRelay) tellRelay(index int, now time.Time) []conditionSend {
	relay := c.trees[index].relay()
	if !relay.IsValid() {
		return nil
	}
	due := c.observed[index].take(maxObserved, now)
	if len(due) == 0 {
		return nil
	}
	if c.trees[index].hosts[0].name == c.self {
		c.collect(index, due, true, now)
		return nil
	}
	return []conditionSend{newConditionSend(toRelay, index, due, relay)}
}

func (c *conditionRelay) isPaused(now time.Time) bool {
	return !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > conditionInterval+maxTickDelay
}

// accepts reports whether a report that is received now is not outdated.
func (c *conditionRelay) accepts(now time.Time) bool {
	return !c.isPaused(now) && !now.Before(c.ignoreUntil)
}

// receive returns the reports that a received one leads to at once.
func (c *conditionRelay) receive(report conditionReport, now time.Time) []conditionSend {
	switch report.Hop {
	case toRelay:
		c.collect(int(report.Tree), report.conditions(), true, now)
	case toRegion:
		c.collect(int(report.Tree), report.conditions(), false, now)
	case alongTree:
		if next := c.trees[report.Tree].next(c.self); len(next) > 0 {
			return []conditionSend{{to: next, report: report}}
		}
	}
	return nil
}

// collect queues conditions as the relay of a tree.
func (c *conditionRelay) collect(index int, conditions []steer.EndpointCondition, isOwnRegion bool, now time.Time) {
	for _, told := range conditions {
		c.inward[index].add(told, now)
		if isOwnRegion {
			c.outward[index].add(told, now)
		}
	}
}

// conditionLoop sends conditions of endpoints until ctx ends.
func (t *Transport) conditionLoop(ctx context.Context) error {
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		t.tellConditions()
	}
}

func (t *Transport) tellConditions() {
	own, others := t.callbacks.Heartbeat(), t.Alive()
	var observed []steer.EndpointCondition
	if tellsConditions(regionSizes(own, others)) {
		observed = t.callbacks.TakeConditions(maxObserved)
	} else {
		others = nil
	}
	t.mu.Lock()
	now := time.Now()
	t.relay.setHosts(own, others, now)
	sends := t.relay.tick(observed, now)
	t.mu.Unlock()
	t.sendConditions(sends)
}

func (t *Transport) applyConditions(report conditionReport) {
	now := time.Now()
	t.mu.Lock()
	if !t.relay.accepts(now) {
		t.mu.Unlock()
		return
	}
	sends := t.relay.receive(report, now)
	t.mu.Unlock()
	t.sendConditions(sends)
	t.callbacks.ApplyConditions(report.conditions())
}

func (t *Transport) sendConditions(sends []conditionSend) {
	for _, send := range sends {
		t.sendTo(send.to, datagram{Conditions: &send.report})
	}
}
