package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// Ports of each host, and where the endpoints tell their health.
const (
	frontPort     = 18548
	readyPort     = 18542
	controlPort   = 18544
	directoryPort = 18546
	internalPort  = 18560
	healthPath    = "/health"
)

// memoryMb is the memory of each host in MB, as in the site file of hluk-eu.
const memoryMb = 284

// hostSettings are those settings of a host that differ between hosts.
type hostSettings struct {
	name, ip, zone string
	seeds          []string
	store          string
}

// zones are those of the deployment hluk-eu, with their regions.
func zones() map[string]string {
	return map[string]string{"plzen-a": "cz-west", "praha-b": "cz-west", "ostrava-a": "cz-east", "brno-b": "cz-east", "munich-a": "de-south", "nuremberg-b": "de-south"}
}

// hostZones are the zones of its hosts.
func hostZones() []string {
	return []string{"plzen-a", "ostrava-a", "munich-a", "praha-b", "brno-b", "nuremberg-b", "plzen-a", "ostrava-a", "munich-a", "praha-b"}
}

// text returns the settings file. Its bounds are those of the small deployment hluk-eu.
func (s hostSettings) text() string {
	seeds := make([]string, len(s.seeds))
	for i, seed := range s.seeds {
		seeds[i] = fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed, controlPort))
	}
	var regions strings.Builder
	for zone, region := range zones() {
		fmt.Fprintf(&regions, "%s = %q\n", zone, region)
	}
	return fmt.Sprintf(`nodeName = %[1]q
role = "entry"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = %[2]q
zone = %[3]q
region = %[4]q
internalPorts = [%[5]d, %[6]d]
seeds = [%[7]s]
bootstrap = false
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"]
[zones]
%[8]s[listen]
front = "%[2]s:%[9]d"
ready = "%[2]s:%[10]d"
control = "%[2]s:%[11]d"
directory = "%[2]s:%[12]d"
[limits]
cpuShare = 0.32
cores = 1
memoryMb = %[14]d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
revertSlackMs = 250
maxSkewMs = 6000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
coldOverage = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 15
ttl_max_s = 5
maxShift = 0.15
[platform]
address = %[13]q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`, s.name, s.ip, s.zone, zones()[s.zone], internalPort, internalPort+9, strings.Join(seeds, ", "), regions.String(),
		frontPort, readyPort, controlPort, directoryPort, s.store, memoryMb)
}

// host is a host that runs as a process of its own.
type host struct {
	hostSettings
	settingsPath string
	log          *os.File
	command      *exec.Cmd
}

func newHost(directory string, settings hostSettings) (*host, error) {
	h := &host{hostSettings: settings, settingsPath: filepath.Join(directory, settings.name+".toml")}
	if err := os.WriteFile(h.settingsPath, []byte(settings.text()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, settings.name+".log"))
	if err != nil {
		return nil, err
	}
	h.log = log
	return h, nil
}

// useStore gives the host another address of the store, from its next start on.
func (h *host) useStore(address string) error {
	h.store = address
	return os.WriteFile(h.settingsPath, []byte(h.text()), 0o600)
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.command = exec.Command("target/filberthold", "serve")
	h.command.Env = append(os.Environ(), "FILBERTHOLD_SETTINGS="+h.settingsPath)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	return h.command.Start()
}

// kill ends the process at once.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	_ = h.command.Wait()
	h.command = nil
}
