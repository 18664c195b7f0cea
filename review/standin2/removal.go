package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

const (
	// heldTime is how long the answer with the entries is under way to one host: its link has
	// lost a packet, which is sent again. startSpread is the most time between the starts of that
	// host and of the others.
	heldTime    = 300 * time.Millisecond
	startSpread = 200 * time.Millisecond
	// leavingCount is the number of endpoints that leave.
	leavingCount = 3
	// drainTime is the time in which hosts must stop using an endpoint that has left, and
	// inTouch the time after its start from which a host counts as in touch.
	drainTime = 2500 * time.Millisecond
	inTouch   = 4 * time.Second
	// lateHost is that host. Another one of its region reads the store for it.
	lateHost = "front-nuremberg-b-6"
)

// heldStore passes the calls of one host to the store. Once it is armed, the answer to the next
// call for all entries of endpoints is under way for heldTime.
type heldStore struct {
	store   *store
	isArmed atomic.Bool
	// answered is closed when the store has answered that call.
	answered chan struct{}
}

// ServeHTTP implements http.Handler.
func (h *heldStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	isEntries := request.URL.Path == "/rows-get" && request.URL.Query().Get("table") == endpointTable
	if !isEntries || !h.isArmed.CompareAndSwap(true, false) {
		h.store.ServeHTTP(writer, request)
		return
	}
	answer := httptest.NewRecorder()
	h.store.ServeHTTP(answer, request)
	close(h.answered)
	time.Sleep(heldTime)
	for name, values := range answer.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.Code)
	_, _ = writer.Write(answer.Body.Bytes())
}

// hostNamed returns the host with a name.
func (d *deployment) hostNamed(name string) *host {
	for _, each := range d.hosts {
		if each.name == name {
			return each
		}
	}
	return nil
}

// restartWhileEndpointsLeave kills all hosts and starts them again. The entries of the endpoints
// that leave are removed just after the store has answered the first host.
func (d *deployment) restartWhileEndpointsLeave(held *heldStore, leave func()) error {
	d.record.note("all hosts are killed")
	d.killHosts()
	time.Sleep(500 * time.Millisecond)
	held.isArmed.Store(true)
	late := d.hostNamed(lateHost)
	d.record.note("%s starts again", late.name)
	if err := late.start(); err != nil {
		return err
	}
	select {
	case <-held.answered:
	case <-time.After(startSpread):
		return fmt.Errorf("%s doesn't ask for the entries", late.name)
	}
	leave()
	for _, each := range d.hosts {
		if each == late {
			continue
		}
		if err := each.start(); err != nil {
			return err
		}
	}
	d.record.note("the other hosts start again")
	return nil
}

// playRemoval lets endpoints leave while all hosts start again.
func playRemoval(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("diary-view", "safe", 2500)
	d.configure()
	for i := range 16 {
		if _, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "munich-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	held := &heldStore{store: d.store, answered: make(chan struct{})}
	listener, err := serve(d.net.Address(storeNumber), held)
	if err != nil {
		return false, err
	}
	if err := d.hostNamed(lateHost).useStore(listener.Addr().String()); err != nil {
		return false, err
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var removedAt time.Time
	leave := func() {
		for _, each := range d.endpoints[:leavingCount] {
			each.leave(d.store)
		}
		removedAt = time.Now()
		d.record.note("%d endpoints leave: the store acknowledges the removal of their entries", leavingCount)
	}
	if hasTrouble {
		if err := d.restartWhileEndpointsLeave(held, leave); err != nil {
			return false, err
		}
	} else {
		leave()
	}
	if !d.awaitReady() {
		return false, fmt.Errorf("the hosts do not become ready")
	}
	d.record.note("all hosts are ready")
	// The first clients that know of the host come when it counts as in touch.
	time.Sleep(time.Until(removedAt.Add(inTouch + time.Second)))
	client := &http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 120 {
		for _, each := range d.hosts {
			d.clients.Go(func() { d.sendTo(client, "/diary-view/", each) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.clients.Wait()
	hostOf := make(map[string]string)
	for _, each := range d.record.sortedRequests() {
		hostOf[each.attempt] = each.host
	}
	late := 0
	for _, came := range d.record.sortedArrivals() {
		for _, gone := range d.endpoints[:leavingCount] {
			if after := came.at.Sub(removedAt); came.endpoint == gone.id && after > drainTime {
				late++
				d.record.note("request %s reaches endpoint %s from %s %.3f s after the removal of its entry", came.attempt, came.endpoint, hostOf[came.attempt], after.Seconds())
			}
		}
	}
	d.record.note("%d requests reached endpoints more than %s after they had left; none is allowed", late, drainTime)
	return late == 0, nil
}
