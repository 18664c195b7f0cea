package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"filberthold/subnet"
)

const (
	// domain is that of all routes.
	domain = "jepu9.example"
	// firstVersion is that of the configuration.
	firstVersion = 1
	// beatInterval is how often an endpoint writes its entry.
	beatInterval = 1500 * time.Millisecond
	// readyTime bounds the wait for the hosts.
	readyTime = 15 * time.Second
	// storeTime is how long an answer of the store takes.
	storeTime = 4 * time.Millisecond
	// endpointNumber and storeNumber are the last parts of the addresses of the endpoints and
	// of the store.
	endpointNumber = 251
	storeNumber    = 252
)

// deployment is a store, endpoints, hosts as separate processes, and what they did.
type deployment struct {
	record    *record
	directory string
	net       *subnet.Subnet
	store     *store
	hosts     []*host
	endpoints []*endpoint
	routes    []serviceRoute
	clients   sync.WaitGroup
	sent      int
	sentMu    sync.Mutex
}

// newDeployment starts a store and makes the settings of the hosts.
func newDeployment() (*deployment, error) {
	reserved, err := subnet.ReserveAny()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: newRecord(), directory: directory, net: reserved, store: newStore(storeTime)}
	listener, err := serve(reserved.Address(storeNumber), d.store)
	if err != nil {
		return nil, err
	}
	var all []hostSettings
	var ips []string
	for i, zone := range hostZones() {
		settings := hostSettings{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: reserved.Address(i + 1), zone: zone, store: listener.Addr().String()}
		all, ips = append(all, settings), append(ips, settings.ip)
	}
	for _, settings := range all {
		settings.seeds = ips[:3]
		added, err := newHost(directory, settings)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, added)
	}
	return d, nil
}

// close ends all processes and keeps nothing but the record.
func (d *deployment) close(recordPath string) error {
	for _, each := range d.hosts {
		each.kill()
		_ = each.log.Close()
	}
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		for _, each := range d.hosts {
			content, err := os.ReadFile(each.log.Name())
			if err == nil {
				_ = os.WriteFile(filepath.Join(logs, each.name+".log"), content, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.directory)
	return d.record.write(recordPath)
}

// serviceRoute is a route to the service of its name, with the prefix /NAME/.
type serviceRoute struct {
	name, kind string
	timeoutMs  int
}

// addRoute adds a route and its service to the next configuration.
func (d *deployment) addRoute(name, kind string, timeoutMs int) {
	d.routes = append(d.routes, serviceRoute{name, kind, timeoutMs})
}

// configure writes a configuration with all routes.
func (d *deployment) configure() {
	var routes, documents []string
	for _, each := range d.routes {
		routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"host":%[2]q,"prefix":"/%[1]s/","routeType":%[3]q,"timeoutMs":%[4]d,"targetLatencyMs":600,"priority":1,"service":%[1]q,"maxAttempts":2,"sessionAffinity":false,"homeRegions":[]}`,
			each.name, domain, each.kind, each.timeoutMs))
		documents = append(documents, fmt.Sprintf(`{"name":%q,"healthPath":%q,"maxConnections":360,"coldStartS":3.0,"coldPerS":%g}`, each.name, healthPath, coldPerS))
	}
	d.store.put(operatorTable, "config", fmt.Sprintf(`{"version":"%08x","routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		firstVersion, strings.Join(routes, ","), strings.Join(documents, ",")))
}

// begin starts the hosts and waits until they are ready.
func (d *deployment) begin() error {
	if err := d.startHosts(); err != nil {
		return err
	}
	if !d.awaitReady() {
		return errors.New("the hosts do not become ready")
	}
	d.record.note("all hosts are ready")
	return nil
}

// addEndpoint starts an endpoint, which registers at once.
func (d *deployment) addEndpoint(id, service, zone string, work time.Duration) (*endpoint, error) {
	added, err := startEndpoint(d.net.Address(endpointNumber), id, service, zone, work, d.record)
	if err != nil {
		return nil, err
	}
	go added.beat(d.store, beatInterval)
	d.endpoints = append(d.endpoints, added)
	return added, nil
}

// startHosts starts all hosts at once.
func (d *deployment) startHosts() error {
	for _, each := range d.hosts {
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

// killHosts ends all hosts at the same moment.
func (d *deployment) killHosts() {
	var group sync.WaitGroup
	for _, each := range d.hosts {
		group.Go(each.kill)
	}
	group.Wait()
}

// awaitReady waits until all hosts say that they are ready.
func (d *deployment) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(readyTime)
	for _, each := range d.hosts {
		for !isReady(client, each) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

func isReady(client *http.Client, each *host) bool {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", each.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
