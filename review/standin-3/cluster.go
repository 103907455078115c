package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports, which are the same on all machines. Each machine has a loopback address of its
// own.
const (
	peerPort    = 27000
	frontPort   = 27021
	readyPort   = 27023
	controlPort = 27026
	minionPort  = 27040
	cloudPort   = 27050
)

// Bounds of the deployment, those of the sheet of cdgc.
const (
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
	finishTime  = 14 * time.Second
	pingPeriod  = 1500 * time.Millisecond
	longestHold = 10 * time.Second
	longestStop = 900 * time.Millisecond
)

// process is one of the project's processes.
type process struct {
	name, role, zone, ip, folder string
	cmd                          *exec.Cmd
	done                         chan struct{}
}

// layout is the zones of a deployment's machines. One machine with a disk may be lost, and
// as many zones as lostZones says.
type layout struct {
	cores, fronts []string
	lostZones     int
}

var (
	oneZone = layout{
		cores:  []string{"z1", "z1", "z1"},
		fronts: []string{"z1", "z1"},
	}
	threeZones = layout{
		cores:     []string{"z1", "z1", "z2", "z2", "z3"},
		fronts:    []string{"z2", "z3"},
		lostZones: 1,
	}
)

// maxSeeds is the number of seeds that the settings name.
const maxSeeds = 3

// cluster is a small deployment.
type cluster struct {
	rec    *record
	layout layout
	subnet string
	folder string
	cores  []*process
	fronts []*process
}

// freeSubnet returns a /24 subnet of the loopback network on which the ports are free.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 101+i/200, (os.Getpid()+i)%250+1)
		if isFree(subnet) {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(subnet string) bool {
	for host := range 130 {
		for _, port := range []int{peerPort, peerPort + 1, frontPort, readyPort, controlPort, minionPort, cloudPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, host, port)
}

func (c *cluster) coreAddresses() (list []string) {
	for i := range c.layout.cores {
		list = append(list, c.address(i+1, controlPort))
	}
	return list
}

func (c *cluster) frontAddress(n int) string {
	return c.address(21+n%len(c.layout.fronts), frontPort)
}

// newCluster starts all processes with the commands of the deploy file.
func newCluster(rec *record, l layout) (c *cluster, err error) {
	c = &cluster{
		rec:    rec,
		layout: l,
	}
	if c.subnet, err = freeSubnet(); err != nil {
		return c, err
	}
	if c.folder, err = os.MkdirTemp("", "review-standin-3-"); err != nil {
		return c, err
	}
	for i, zone := range l.cores {
		c.cores = append(c.cores, c.newProcess("core", zone, i+1))
	}
	for i, zone := range l.fronts {
		c.fronts = append(c.fronts, c.newProcess("front", zone, 21+i))
	}
	for _, p := range c.processes() {
		if err = p.writeSettings(c, true); err != nil {
			return c, err
		}
		if err = p.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) processes() []*process {
	return append(append([]*process{}, c.cores...), c.fronts...)
}

func (c *cluster) newProcess(role, zone string, host int) *process {
	name := fmt.Sprintf("%s-%d", role, host)
	return &process{
		name:   name,
		role:   role,
		zone:   zone,
		ip:     fmt.Sprintf("%s.%d", c.subnet, host),
		folder: filepath.Join(c.folder, name),
	}
}

func (p *process) writeSettings(c *cluster, isFirst bool) error {
	lines := []string{
		"node=" + p.name, "role=" + p.role, "machineClass=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=r", "zones.z1=r", "zones.z2=r", "zones.z3=r",
		fmt.Sprintf("portRange=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(c.coreAddresses()[:maxSeeds], ","),
		fmt.Sprintf("bootstrap=%v", isFirst), "limits.cores=1", "limits.memoryMb=280", "limits.maxFds=4096",
		"discovery=registration", "entry=vip", fmt.Sprintf("heartbeatMs=%d", pingPeriod.Milliseconds()),
		"contracts=base,drain,config,cost,recover,sched,tenants", "faultTolerance.machines=1",
		fmt.Sprintf("faultTolerance.zones=%d", c.layout.lostZones),
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", fmt.Sprintf("bounds.drainMs=%d", drainTime.Milliseconds()),
		"bounds.graceS=6", fmt.Sprintf("bounds.configApplyMs=%d", configApply.Milliseconds()), "bounds.evacuateMs=5000",
		"bounds.recoveryS=12", fmt.Sprintf("bounds.holdMaxMs=%d", longestHold.Milliseconds()),
		fmt.Sprintf("bounds.stopMs=%d", longestStop.Milliseconds()), "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", fmt.Sprintf("bounds.finish_s=%d", int(finishTime.Seconds())),
		"bounds.status_s=120", "bounds.crossRackFactor=3", "bounds.checkpointIntervalS=0.5", "bounds.restoreMs=100",
		"config_mode=highest", "orders=invoke", "cloud.address=" + c.address(120, cloudPort), "cloud.ratePerS=60.0",
	}
	if p.role == "core" {
		lines = append(lines, "serves=control", fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "faultCounted=true",
			"limits.diskMb=128", "dataDir="+filepath.Join(p.folder, "data"))
	} else {
		lines = append(lines, "serves=front", fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort),
			fmt.Sprintf("listen.readyAddress=%s:%d", p.ip, readyPort), "faultCounted=false", "limits.diskMb=0")
	}
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "settings.conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start runs the command of the deploy file from the repository's root, which is the
// working folder.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/platform", p.role)
	p.cmd.Env = []string{"PLANTAINLADDER_BOOT=" + filepath.Join(p.folder, "settings.conf"), "PATH=" + os.Getenv("PATH"), "HOME=" + p.folder}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The processes end with the stand-in, also if that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = p.cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, p := range c.processes() {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP") == "" && c.folder != "" {
		_ = os.RemoveAll(c.folder)
	}
}
