package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// A deployment is a small deployment on loopback addresses: the project's programs as
// processes, and stand-ins for minions, the platform's list of machines and consumers.
type deployment struct {
	rec      *recorder
	program  string
	folder   string
	subnet   string
	basePort int
	cores    []*process
	fronts   []*process
	cloud    *cloud
	minions  []*minion
	version  int
}

// bounds are the bounds of the users' small deployment.
const bounds = `heartbeatMs=1500
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.backMs=250
bounds.maxStretchMs=5000
bounds.failClosed=false
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=10000
bounds.stopMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.crossRackFactor=3
bounds.checkpointIntervalS=1
bounds.restoreMs=100
bounds.fencingEnabled=false
bounds.leaseMs=3000
config_mode=highest
orders=invoke
discovery=registration
entry=vip
`

const (
	holdMax      = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	pingInterval = 1500 * time.Millisecond
)

// A process is one of the project's processes, with an address of its own.
type process struct {
	name, role, ip, folder string
	program                string
	cmd                    *exec.Cmd
	done                   chan struct{}
}

func newDeployment(rec *recorder, program string, cores, fronts, tolerated int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec:     rec,
		program: program,
		folder:  folder,
	}
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		d.basePort = 20000 + 100*rand.IntN(100)
		if d.isFree(cores + fronts) {
			break
		}
		d.subnet = ""
	}
	if d.subnet == "" {
		return d, errors.New("no free ports")
	}
	if d.cloud, err = newCloud(fmt.Sprintf("%s.200:%d", d.subnet, d.basePort+60)); err != nil {
		return d, err
	}
	for i := range cores {
		d.cores = append(d.cores, d.newProcess("core", i, d.coreIP(i), tolerated))
	}
	for i := range fronts {
		d.fronts = append(d.fronts, d.newProcess("front", i, d.frontIP(i), tolerated))
	}
	return d, nil
}

func (d *deployment) coreIP(i int) string  { return fmt.Sprintf("%s.%d", d.subnet, 1+i) }
func (d *deployment) frontIP(i int) string { return fmt.Sprintf("%s.%d", d.subnet, 30+i) }
func (d *deployment) control(i int) string { return fmt.Sprintf("%s:%d", d.coreIP(i), d.basePort+26) }

func (d *deployment) front(i int) string { return fmt.Sprintf("%s:%d", d.frontIP(i), d.basePort+21) }

// isFree reports whether the ports of the deployment are free.
func (d *deployment) isFree(machines int) bool {
	for i := range machines {
		for _, ip := range []string{d.coreIP(i), d.frontIP(i)} {
			for _, port := range []int{0, 1, 21, 23, 26} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, d.basePort+port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// seeds returns the control addresses of the first three cores.
func (d *deployment) seeds() []string {
	return []string{d.control(0), d.control(1), d.control(2)}
}

func (d *deployment) newProcess(role string, i int, ip string, tolerated int) *process {
	p := &process{
		name:    fmt.Sprintf("%s-%d", role, i),
		role:    role,
		ip:      ip,
		program: d.program,
		folder:  filepath.Join(d.folder, fmt.Sprintf("%s-%d", role, i)),
	}
	_ = os.MkdirAll(p.folder, 0o700)
	d.writeSettings(p, d.seeds(), tolerated, true)
	return p
}

func (d *deployment) writeSettings(p *process, seeds []string, tolerated int, isFirstStart bool) {
	lines := []string{
		"node=" + p.name, "role=" + p.role, "machineClass=" + p.role, "ip=" + p.ip, "zone=za", "region=ra", "zones.za=ra",
		fmt.Sprintf("portRange=%d,%d", d.basePort, d.basePort+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", isFirstStart), fmt.Sprintf("limits.memoryMb=%d", memoryOf(p.role)), "limits.maxFds=4100", "limits.cores=1", "limits.cpuShare=0.8",
		fmt.Sprintf("faultTolerance.machines=%d", tolerated), "faultTolerance.zones=1", "faultTolerance.regions=0",
		"contracts=base,drain,config,cost,recover,sched,tenants,places", "cloud.address=" + d.cloud.address, "cloud.ratePerS=60.0",
		fmt.Sprintf("listen.front=%s:%d", p.ip, d.basePort+21), fmt.Sprintf("listen.readyAddress=%s:%d", p.ip, d.basePort+23),
	}
	if p.role == "core" {
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", p.ip, d.basePort+26), "dataDir="+filepath.Join(p.folder, "data"), "limits.diskMb=128", "serves=control", "faultCounted=true")
		_ = os.MkdirAll(filepath.Join(p.folder, "data"), 0o700)
	} else {
		lines = append(lines, "serves=front", "faultCounted=false")
	}
	_ = os.WriteFile(filepath.Join(p.folder, "settings.conf"), []byte(strings.Join(lines, "\n")+"\n"+bounds), 0o600)
}

// Memory of the machines, as the users' sheet has it.
const (
	coreMemoryMB  = 280
	frontMemoryMB = 284
)

func memoryOf(role string) int {
	if role == "core" {
		return coreMemoryMB
	}
	return frontMemoryMB
}

// residentMB returns the memory of the process that is resident, in MB; 0 if it has ended.
func (p *process) residentMB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.role)
	cmd.Env = []string{"PLANTAINLADDER_BOOT=" + filepath.Join(p.folder, "settings.conf")}
	cmd.Stdout, cmd.Stderr = out, out
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
		_ = out.Close()
		close(done)
	}()
	return nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (d *deployment) start() error {
	for _, p := range append(append([]*process{}, d.cores...), d.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, m := range d.minions {
		m.close()
	}
	for _, p := range append(append([]*process{}, d.cores...), d.fronts...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if d.cloud != nil {
		d.cloud.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// addMinion starts a minion of the service.
func (d *deployment) addMinion(c minionConfig) (*minion, error) {
	i := len(d.minions)
	c.id = fmt.Sprintf("i-%04x", 0xa000+i)
	c.machine = fmt.Sprintf("m-%04x", 0xb000+i)
	c.listen = fmt.Sprintf("%s.%d:%d", d.subnet, 100+i, d.basePort+40)
	c.rec, c.cloud = d.rec, d.cloud
	for j := range d.cores {
		c.controls = append(c.controls, d.control(j))
	}
	m := &minion{
		cfg: c,
	}
	if err := m.boot(); err != nil {
		return nil, err
	}
	d.minions = append(d.minions, m)
	return m, nil
}
