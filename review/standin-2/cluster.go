package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and keys of the stand-in deployment.
const (
	service   = "huvo11a"
	host      = "nony24.example"
	prefix    = "/lohu930/"
	tenant    = "kaje80"
	firstKey  = "d4a3hwrr6x73d3zji9n7"
	secondKey = "3hh2b9wu3fexd9dnn2ct"
)

var zones = []string{"naches", "tieton", "wenas"}

// Ports, relative to the first free one.
const (
	portFront = iota
	portReady
	portControl
	portMinion
	portCloud
	portPeers
	portCount = portPeers + 16
)

// A process is one of the project's programs on one machine.
type process struct {
	name, role, ip, zone, folder string
	cmd                          *exec.Cmd
	done                         chan struct{}
}

// A cluster is the stand-in deployment: the project's programs as processes, the
// platform's list of machines, and the minions.
type cluster struct {
	rec      *record
	folder   string
	net      int
	basePort int
	runs     map[string]string
	cores    []*process
	fronts   []*process
	mu       sync.Mutex
	minions  []*minion
	cloud    *http.Server
	version  int
}

// newCluster starts cores, fronts and the list of machines.
func newCluster(rec *record, cores, fronts int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		rec:    rec,
		folder: folder,
		net:    10 + rand.IntN(200),
	}
	if c.runs, err = deployedCommands("deploy/system.toml"); err != nil {
		return c, err
	}
	for i := range cores {
		c.cores = append(c.cores, c.newProcess("core", i, 10+i))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newProcess("front", i, 40+i))
	}
	if err = c.findPorts(); err != nil {
		return c, err
	}
	if err = c.serveCloud(); err != nil {
		return c, err
	}
	for _, p := range append(append([]*process{}, c.cores...), c.fronts...) {
		if err = c.start(p, true); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) newProcess(role string, i, host int) *process {
	return &process{
		name:   fmt.Sprintf("%s-%s-%d", role, zones[i%len(zones)], i+1),
		role:   role,
		ip:     c.ip(host),
		zone:   zones[i%len(zones)],
		folder: filepath.Join(c.folder, fmt.Sprintf("%s-%d", role, i)),
	}
}

func (c *cluster) ip(host int) string {
	return fmt.Sprintf("127.%d.0.%d", c.net, host)
}

func (c *cluster) address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(c.basePort+port))
}

// deployedCommands reads the command of each role from the deploy file.
func deployedCommands(path string) (map[string]string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	runs, role := map[string]string{}, ""
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == "run" && role != "" {
			runs[role] = strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	if runs["core"] == "" || runs["front"] == "" {
		return nil, errors.New("the deploy file has no roles core and front")
	}
	return runs, nil
}

// findPorts finds a range of ports that is free on all machines.
func (c *cluster) findPorts() error {
	for range 50 {
		c.basePort = 20_000 + rand.IntN(10_000)
		if c.isFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (c *cluster) isFree() bool {
	for _, p := range append(append([]*process{}, c.cores...), c.fronts...) {
		for port := range portCount {
			l, err := net.Listen("tcp", c.address(p.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(p *process, isFirst bool) error {
	data := filepath.Join(p.folder, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(p.folder, "settings.conf")
	if err := os.WriteFile(settings, []byte(c.settings(p, data, isFirst)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(c.runs[p.role])
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "PLANTAINLADDER_BOOT=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd)
	c.rec.write("platform", "started %s", p.name)
	return nil
}

// settings returns the settings file, with the values of a small deployment.
func (c *cluster) settings(p *process, data string, isFirst bool) string {
	var seeds []string
	for i, s := range c.cores {
		if i < 3 {
			seeds = append(seeds, c.address(s.ip, portControl))
		}
	}
	lines := []string{
		"node=" + p.name, "role=" + p.role, "machineClass=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=cascade-east",
		"zones.naches=cascade-east", "zones.tieton=cascade-east", "zones.wenas=cascade-east",
		fmt.Sprintf("portRange=%d,%d", c.basePort+portPeers, c.basePort+portPeers+15),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", isFirst),
		"limits.cores=1", "limits.maxFds=4096", "limits.linkMbps=1000.0", "discovery=registration", "entry=vip",
		"heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,tenants,places,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.backMs=250",
		"bounds.maxStretchMs=5000", "bounds.failClosed=false", "bounds.revokeMs=5000", "bounds.evacuateMs=5000",
		"bounds.recoveryS=12", "bounds.holdMaxMs=10000", "bounds.stopMs=900", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.crossRackFactor=3", "bounds.checkpointIntervalS=0.5", "bounds.restoreMs=100", "bounds.noticeMs=4500",
		"bounds.moveS=1.5", "bounds.maintenanceS=2", "bounds.fencingEnabled=false", "bounds.leaseMs=3000",
		"bounds.thawSlackMs=300", "bounds.paceMs=100", "bounds.harmMs=4000", "bounds.reclaimMs=3400",
		"config_mode=highest", "orders=invoke", "cloud.address=" + c.address(c.ip(2), portCloud),
		"cloud.ratePerS=60.0", "cloud.duties=", "cloud.dutyPerS=60.0",
	}
	if p.role == "front" {
		lines = append(lines, "serves=front", "faultCounted=false", "limits.cpuShare=0.4", "limits.memoryMb=284", "limits.diskMb=0",
			"listen.front="+c.address(p.ip, portFront), "listen.readyAddress="+c.address(p.ip, portReady))
	} else {
		lines = append(lines, "serves=control", "faultCounted=true", "limits.cpuShare=0.8", "limits.memoryMb=280", "limits.diskMb=128",
			"listen.control="+c.address(p.ip, portControl), "dataDir="+data)
	}
	return strings.Join(lines, "\n") + "\n"
}

// serveCloud serves the platform's list of machines.
func (c *cluster) serveCloud() error {
	l, err := net.Listen("tcp", c.address(c.ip(2), portCloud))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantainladder/machines", func(w http.ResponseWriter, _ *http.Request) {
		rows := []map[string]any{}
		c.mu.Lock()
		for _, m := range c.minions {
			row := map[string]any{
				"machineId": "m-" + m.id, "pool": service, "state": "up", "zone": m.zone,
				"labels": m.labels, "capacity": m.capacity, "id": m.id,
			}
			if m.hasEnded() {
				row["state"], row["id"] = "down", ""
			}
			rows = append(rows, row)
		}
		c.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextToken": nil})
	})
	c.cloud = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = c.cloud.Serve(l) }()
	return nil
}

// addMinion starts a minion with the labels of its kind and its rack.
func (c *cluster) addMinion(labels ...string) (*minion, error) {
	c.mu.Lock()
	n := len(c.minions)
	c.mu.Unlock()
	m, err := startMinion(c, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), zones[n%len(zones)], c.address(c.ip(100+n), portMinion), labels)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.minions = append(c.minions, m)
	c.mu.Unlock()
	return m, nil
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	if c == nil {
		return
	}
	for _, m := range c.minions {
		m.kill()
	}
	for _, p := range append(append([]*process{}, c.cores...), c.fronts...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if c.cloud != nil {
		_ = c.cloud.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs kept in", c.folder)
	}
}

// awaitReady waits until all fronts report that they are ready.
func (c *cluster) awaitReady(timeout time.Duration) error {
	client := &http.Client{
		Timeout: time.Second,
	}
	deadline := time.Now().Add(timeout)
	for _, p := range c.fronts {
		for {
			resp, err := client.Get("http://" + c.address(p.ip, portReady) + "/plantainladder/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("a front is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
