package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A process is a program of the deploy file on a machine of its own, which has a
// loopback address of its own.
type process struct {
	name, role, zone string
	// ip is the address of the machine. inner is the one that its settings name as its
	// own; it differs where a proxy stands between the machine and the others. control,
	// front and ready are what it serves.
	ip, inner, control, front, ready string
	folder                           string
	words                            []string
	cmd                              *exec.Cmd
	done                             chan struct{}
}

// A cluster is a small deployment: five core machines and some fronts.
type cluster struct {
	rec    *record
	root   string
	folder string
	subnet string
	ports  ports
	cores  []*process
	fronts []*process
	cloud  *cloud
	// seeds are the control addresses of three cores, the same on all machines.
	seeds  []string
	bounds map[string]string
	mu     sync.Mutex
	all    []*process
}

type ports struct {
	peer, control, front, ready, minion, cloud int
}

var zones = []string{"naches", "tieton", "wenas"}

// defaultBounds are those of the deployment cdgc-sched.
func defaultBounds() map[string]string {
	return map[string]string{
		"seedLagS": "3", "reuseAfterS": "2", "contactMs": "3000", "ackMs": "4000", "catchUpS": "4", "drainMs": "2000",
		"graceS": "6", "lossSlackMs": "200", "configApplyMs": "2000", "backMs": "250", "maxStretchMs": "5000",
		"failClosed": "false", "revokeMs": "5000", "evacuateMs": "5000", "recoveryS": "12", "holdMaxMs": "10000",
		"stopMs": "900", "gangTimeoutMs": "3000", "cancel_ms": "3000", "visible_ms": "3000", "early_ms": "250",
		"finish_s": "14", "status_s": "120", "crossRackFactor": "3", "checkpointIntervalS": "0.5", "restoreMs": "100",
		"noticeMs": "4500", "fencingEnabled": "false", "leaseMs": "3000", "thawSlackMs": "300", "reclaimMs": "3400",
	}
}

// commands returns the words of the roles' commands in the deploy file.
func commands(root string) (map[string][]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	m := map[string][]string{}
	for _, found := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]+)"`).FindAllStringSubmatch(string(b), -1) {
		m[found[1]] = strings.Fields(found[2])
	}
	if m["front"] == nil || m["core"] == nil {
		return nil, errors.New("the deploy file has no roles front and core")
	}
	return m, nil
}

// freePorts returns ports that are free on the first address of the subnet.
func freePorts(subnet string) (p ports, err error) {
	var list [6]int
	for i := range list {
		l, err := net.Listen("tcp", subnet+".1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		list[i] = l.Addr().(*net.TCPAddr).Port
	}
	// The peers' port is the first of a range of sixteen, so it stays below the others'.
	return ports{
		peer:    20000 + list[0]%5000,
		control: list[1],
		front:   list[2],
		ready:   list[3],
		minion:  list[4],
		cloud:   list[5],
	}, nil
}

// newCluster prepares a deployment; start starts it.
func newCluster(rec *record, cores, fronts int) (c *cluster, err error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	run, err := commands(root)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c = &cluster{
		rec:    rec,
		root:   root,
		folder: folder,
		subnet: fmt.Sprintf("127.%d.%d", 20+pid/200%200, 10+pid%200),
		bounds: defaultBounds(),
	}
	if c.ports, err = freePorts(c.subnet); err != nil {
		return c, err
	}
	for i := range cores {
		c.cores = append(c.cores, c.newProcess("core", i, 11+i, run["core"]))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newProcess("front", i, 31+i, run["front"]))
	}
	for i := range min(3, cores) {
		c.seeds = append(c.seeds, c.cores[i].control)
	}
	c.all = append(append(c.all, c.cores...), c.fronts...)
	c.cloud, err = newCloud(c)
	return c, err
}

func (c *cluster) newProcess(role string, i, host int, words []string) *process {
	ip := fmt.Sprintf("%s.%d", c.subnet, host)
	p := &process{
		name:   fmt.Sprintf("%s-%d", role, i+1),
		role:   role,
		zone:   zones[i%len(zones)],
		ip:     ip,
		inner:  ip,
		words:  words,
		folder: filepath.Join(c.folder, fmt.Sprintf("%s-%d", role, i+1)),
	}
	if role == "core" {
		p.control = fmt.Sprintf("%s:%d", ip, c.ports.control)
	} else {
		p.front, p.ready = fmt.Sprintf("%s:%d", ip, c.ports.front), fmt.Sprintf("%s:%d", ip, c.ports.ready)
	}
	return p
}

func (p *process) dataDir() string {
	return filepath.Join(p.folder, "data")
}

// writeSettings writes the settings file of a process.
func (c *cluster) writeSettings(p *process, bootstrap bool) error {
	isCore := p.role == "core"
	lines := []string{
		"node=" + p.name, "role=" + p.role, "machineClass=" + p.role, "ip=" + p.inner, "zone=" + p.zone, "region=cascade-east",
		"zones.naches=cascade-east", "zones.tieton=cascade-east", "zones.wenas=cascade-east",
		fmt.Sprintf("portRange=%d,%d", c.ports.peer, c.ports.peer+15), "seeds=" + strings.Join(c.seeds, ","),
		fmt.Sprintf("bootstrap=%v", bootstrap), fmt.Sprintf("faultCounted=%v", isCore),
		"limits.cores=1", "limits.maxFds=4096", "limits.linkMbps=1000.0",
		"discovery=registration", "entry=vip", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,places,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"config_mode=highest", "orders=invoke", "cloud.address=" + c.cloud.address, "cloud.ratePerS=60.0", "cloud.duties=",
	}
	if isCore {
		lines = append(lines, "serves=control", "listen.control="+p.control, "limits.cpuShare=0.8", "limits.memoryMb=280",
			"limits.diskMb=128", "dataDir="+p.dataDir())
	} else {
		lines = append(lines, "serves=front", "listen.front="+p.front, "listen.readyAddress="+p.ready, "limits.cpuShare=0.4",
			"limits.memoryMb=284", "limits.diskMb=0")
	}
	for k, v := range c.bounds {
		lines = append(lines, "bounds."+k+"="+v)
	}
	if err := os.MkdirAll(p.dataDir(), 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "settings.conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startProcess starts a process, for the first time if bootstrap is true.
func (c *cluster) startProcess(p *process, bootstrap bool) error {
	if err := c.writeSettings(p, bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(c.root, p.words[0]), p.words[1:]...)
	cmd.Dir = c.root
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"PLANTAINLADDER_BOOT=" + filepath.Join(p.folder, "settings.conf"),
	}
	cmd.Stdout, cmd.Stderr = out, out
	// A process ends with the script, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.rec.line("START %s (bootstrap %v)", p.name, bootstrap)
	return nil
}

// start starts all processes for the first time.
func (c *cluster) start() error {
	for _, p := range c.all {
		if err := c.startProcess(p, true); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) signal(p *process, s syscall.Signal) {
	c.rec.line("SIGNAL %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// kill kills a process and waits for its end.
func (c *cluster) kill(p *process) {
	c.signal(p, syscall.SIGKILL)
	<-p.done
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) close() {
	for _, p := range c.all {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if c.cloud != nil {
		c.cloud.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

// logHas reports whether the log of a process has a line with the text.
func (p *process) logHas(text string) bool {
	b, _ := os.ReadFile(filepath.Join(p.folder, "log"))
	return strings.Contains(string(b), text)
}

// sleepUntil waits until a time after the start of the record.
func (r *record) sleepUntil(seconds float64) {
	time.Sleep(time.Until(r.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// controls returns the addresses of the cores for the operator.
func (c *cluster) controls() (list []string) {
	for _, p := range c.cores {
		list = append(list, p.control)
	}
	return list
}
