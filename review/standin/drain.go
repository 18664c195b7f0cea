package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"filberthold/platform"
)

const (
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
	// freezeTime is how long the first reader of the store stands still.
	freezeTime = 5 * time.Second
)

// get sends a request to a host and returns its status and body.
func get(h *host, path, attempt, object string) (int, string, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.ip+":8548"+path, http.NoBody)
	if err != nil {
		return 0, "", fmt.Errorf("make request: %w", err)
	}
	request.Host = domain
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Affinity-Key", object)
	request.Header.Set("Deadline-Ms", "2500")
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "", fmt.Errorf("read answer: %w", err)
	}
	return response.StatusCode, string(body), nil
}

// readers returns the hosts in the order in which they read the endpoints from the
// store: the first one that does, and the others.
func readers(d *deployment) (*host, []*host, error) {
	before := d.readsByIP()
	time.Sleep(3 * time.Second)
	var first *host
	var others []*host
	most := 0
	after := d.readsByIP()
	for _, h := range d.hosts {
		if count := after[h.ip] - before[h.ip]; count > most {
			first, most = h, count
		}
	}
	if first == nil {
		return nil, nil, fmt.Errorf("no host reads the store")
	}
	for _, h := range d.hosts {
		if h != first {
			others = append(others, h)
		}
	}
	return first, others, nil
}

// runDrain lets endpoints leave without a report while the host that reads the store has
// just stood still and is then stopped, and counts the requests that the other hosts send
// them later than drainMs.
func runDrain(d *deployment, r *record, isTroubled bool) (int, error) {
	var endpoints []*plainEndpoint
	var cancels []func()
	for i := range 6 {
		e, err := startPlainEndpoint(fmt.Sprintf("i-7f3a91c%d", i), r, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		defer func() { _ = e.listener.Close() }()
		endpoints = append(endpoints, e)
		cancels = append(cancels, d.register(e.id, e.entry()))
	}
	d.configure(routeText("specs", "safe", 1200, 300))
	if err := d.addHosts("north-a", "north-a", "north-a"); err != nil {
		return 0, err
	}
	if err := d.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	reader, others, err := readers(d)
	if err != nil {
		return 0, err
	}
	objects := preferred(others[0], endpoints, r)
	r.add("%s reads the store for the others", reader.name)
	if isTroubled {
		r.add("%s stands still for %s", reader.name, freezeTime)
		if err := reader.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return 0, fmt.Errorf("stop reader: %w", err)
		}
		time.Sleep(freezeTime)
		if err := reader.command.Process.Signal(syscall.SIGCONT); err != nil {
			return 0, fmt.Errorf("continue reader: %w", err)
		}
		r.add("%s runs again", reader.name)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(800 * time.Millisecond)
	leaving := endpoints[:3]
	for i, e := range leaving {
		cancels[i]()
		d.store.Remove(platform.EndpointTable, e.id)
		e.leave()
		r.add("endpoint %s leaves: its entry is removed, and it goes on serving", e.id)
	}
	time.Sleep(700 * time.Millisecond)
	r.add("%s gets SIGTERM", reader.name)
	if err := reader.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("end reader: %w", err)
	}
	time.Sleep(3 * time.Second)
	for _, h := range others {
		for object := range objects {
			attempt := fmt.Sprintf("b-%s-%s", h.name, object)
			status, body, err := get(h, "/specs/1", attempt, object)
			r.add("client got %s from %s: status %d, endpoint %s, error %v", attempt, h.name, status, body, err)
		}
	}
	return countLate(leaving, r), nil
}

// preferred sends requests for many objects, so that each endpoint gets some, and returns
// the objects with their endpoints.
func preferred(h *host, endpoints []*plainEndpoint, r *record) map[string]string {
	objects := make(map[string]string)
	for i := range 10 * len(endpoints) {
		object := fmt.Sprint(i)
		_, body, err := get(h, "/specs/1", "a-"+object, object)
		if err == nil {
			objects[object] = body
		}
		r.add("client got a-%s from %s: endpoint %s, error %v", object, h.name, body, err)
	}
	return objects
}

// countLate returns the number of requests that endpoints ran later than drainMs after
// the store had accepted that they leave.
func countLate(endpoints []*plainEndpoint, r *record) int {
	late := 0
	for _, e := range endpoints {
		for _, ran := range e.ran() {
			if after := ran.at.Sub(e.leftAt); after > drainTime {
				late++
				r.add("%s reached %s %s after it had left, the bound is %s", ran.attempt, e.id, after, drainTime)
			}
		}
	}
	return late
}
