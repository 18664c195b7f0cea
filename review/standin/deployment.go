package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// The figures of a small deployment, as in the site twmg-hold.
const (
	heartbeat = 1500 * time.Millisecond
	grace     = 6 * time.Second
	// domain is the host name of all routes.
	domain = "jepu9.example"
)

// settingsText is the settings file of a host, with the fields of DEPLOY.md.
const settingsText = `nodeName = %[1]q
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = %[2]q
zone = %[3]q
region = %[4]q
internalPorts = [7540,7555]
seeds = [%[5]s]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[zones]
north-a = "north"
south-a = "south"
[listen]
front = "%[2]s:8548"
ready = "%[2]s:8542"
control = "%[2]s:8544"
directory = "%[2]s:8546"
[limits]
cpuShare = 0.32
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
evacuationMs = 5000
ttl_max_s = 5
[platform]
address = %[6]q
form = "table"
`

// deployment is a store and the hosts that use it.
type deployment struct {
	store   *fake.Store
	server  *httptest.Server
	folder  string
	hosts   []*host
	log     *os.File
	stopped chan struct{}
	beats   sync.WaitGroup

	mu sync.Mutex
	// reads counts the calls that read the endpoints, by the address of the host.
	reads map[string]int
}

// host is one process of the system.
type host struct {
	name, ip string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// newDeployment starts the stand-in of the store.
func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, "hosts.log"))
	if err != nil {
		return nil, fmt.Errorf("make log: %w", err)
	}
	d := &deployment{store: fake.NewStore(), folder: folder, log: log, stopped: make(chan struct{}), reads: make(map[string]int)}
	d.server = httptest.NewServer(http.HandlerFunc(d.serveStore))
	return d, nil
}

func (d *deployment) serveStore(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("table") == string(platform.EndpointTable) {
		ip, _, _ := net.SplitHostPort(request.RemoteAddr)
		d.mu.Lock()
		d.reads[ip]++
		d.mu.Unlock()
	}
	d.store.ServeHTTP(writer, request)
}

// readsByIP returns the number of calls that read the endpoints so far.
func (d *deployment) readsByIP() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.reads)
}

// storeAddress returns the address and port of the store.
func (d *deployment) storeAddress() string { return strings.TrimPrefix(d.server.URL, "http://") }

// close ends all processes and the store.
func (d *deployment) close() {
	close(d.stopped)
	for _, h := range d.hosts {
		h.kill()
	}
	d.beats.Wait()
	d.server.CloseClientConnections()
	d.server.Close()
	_ = d.log.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// freeIPs returns loopback addresses on which no port of a host is in use.
func freeIPs(count int) ([]string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		var ips []string
		for i := range count {
			ips = append(ips, fmt.Sprintf("%s.%d", prefix, 10+i))
		}
		if arePortsFree(ips) {
			return ips, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func arePortsFree(ips []string) bool {
	for _, ip := range ips {
		for _, port := range []string{"8542", "8544", "8546", "8548", "9464"} {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// addHosts starts hosts in the zones given, one each.
func (d *deployment) addHosts(zones ...string) error {
	ips, err := freeIPs(len(zones))
	if err != nil {
		return err
	}
	seeds := make([]string, 0, len(ips))
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%q", ip+":8544"))
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ips[i]}
		h.settings = filepath.Join(d.folder, h.name+".toml")
		region, _, _ := strings.Cut(zone, "-")
		text := fmt.Sprintf(settingsText, h.name, h.ip, zone, region, strings.Join(seeds, ","), d.storeAddress())
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := d.start(h); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host) error {
	h.command = exec.Command("target/filberthold", "serve")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTHOLD_SETTINGS=" + h.settings}
	h.command.Stdout, h.command.Stderr = d.log, d.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	command, exited := h.command, make(chan struct{})
	h.exited = exited
	go func() {
		// How the process ends does not matter here.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
}

// waitReady waits until all hosts are ready.
func (d *deployment) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range d.hosts {
		deadline := time.Now().Add(15 * time.Second)
		for !isReady(client, h) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, h *host) bool {
	response, err := client.Get("http://" + h.ip + ":8542/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// entry is what an endpoint writes to the store.
type entry struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
	Sequence        int    `json:"sequence"`
	Born            int64  `json:"born"`
}

// register writes the entry of an endpoint and renews it at each heartbeat, until the
// function that it returns is called.
func (d *deployment) register(id string, e entry) (cancel func()) {
	cancelled := make(chan struct{})
	write := func() {
		e.Sequence++
		text, err := json.Marshal(e)
		if err == nil {
			d.store.Put(platform.EndpointTable, id, string(text))
		}
	}
	write()
	d.beats.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				write()
			case <-cancelled:
				return
			case <-d.stopped:
				return
			}
		}
	})
	return func() { close(cancelled) }
}

// routeText is a route to the service "desk" under its prefix.
func routeText(name, kind string, timeoutMs, targetMs int) string {
	return fmt.Sprintf(`{"name":%[1]q,"host":%[2]q,"prefix":"/%[1]s/","routeType":%[3]q,"timeoutMs":%[4]d,"targetLatencyMs":%[5]d,"priority":1,"service":"desk","maxAttempts":2,"sessionAffinity":true,"homeRegions":[]}`,
		name, domain, kind, timeoutMs, targetMs)
}

// configure writes the configuration, with the limits that "fleetbench wire" shows.
func (d *deployment) configure(routes ...string) {
	d.store.Put(platform.OperatorTable, "config", fmt.Sprintf(`{"version":"00000007","routes":[%s],"services":[{"name":"desk","healthPath":"/health","maxConnections":390,"coldStartS":3.0,"coldPerS":4.7}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		strings.Join(routes, ",")))
}
