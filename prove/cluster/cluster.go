package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/prove/proxy"
)

// Tokens that the processes of every test cluster share.
const (
	ClusterToken  = "cluster-secret"
	OperatorToken = "operator-secret"
	WorkerToken   = "worker-secret"
	MinionToken   = "minion-secret"
)

const (
	servicePort = 7000
	proxyPort   = 7001
)

// A Config configures a Cluster.
type Config struct {
	// Folder is where data folders, logs and records are written.
	Folder string
	// Controllers and Gateways are the numbers of these processes that Start starts.
	Controllers, Gateways int
	// SnapshotEvery is the controllers' --snapshot-every; zero selects their default.
	SnapshotEvery int
	// DrainNotice is the gateways' --drain-notice; zero means one second.
	DrainNotice time.Duration
}

// A Cluster is a set of processes and the network between them. Tests inject
// faults into it through Network.
type Cluster struct {
	cfg        Config
	net        int
	Network    *proxy.Network
	binaryDir  string
	proxies    []*proxy.Proxy
	processes  map[string]*Process
	startOrder []string
}

var (
	clusterCount atomic.Int64
	buildOnce    sync.Once
	buildDir     string
	errBuild     error
)

// Build builds the programs on its first call and returns the folder that holds them.
func Build() (string, error) {
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "plantainladder-bin-")
		for _, name := range []string{"controller", "gateway", "ladder", "standin"} {
			if errBuild == nil {
				errBuild = build(name)
			}
		}
	})
	return buildDir, errBuild
}

func build(name string) error {
	out, err := exec.Command("go", "build", "-o", filepath.Join(buildDir, name),
		"github.com/plantainladder/plantainladder/"+name).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s: %w: %s", name, err, out)
	}
	return nil
}

// RemoveBuild removes the folder that Build returned.
func RemoveBuild() {
	_ = os.RemoveAll(buildDir)
}

// New returns a cluster without processes. Its loopback subnet depends on the
// process ID and the number of clusters so far, so that test programs which run
// at the same time rarely use the same addresses.
func New(cfg Config) (*Cluster, error) {
	binaryDir, err := Build()
	if err != nil {
		return nil, err
	}
	if cfg.DrainNotice == 0 {
		cfg.DrainNotice = time.Second
	}
	return &Cluster{
		cfg:       cfg,
		net:       1 + int(int64(os.Getpid())*7+clusterCount.Add(1))%250,
		Network:   proxy.NewNetwork(),
		binaryDir: binaryDir,
		processes: map[string]*Process{},
	}, nil
}

// subnetPartByKind holds the third part of the IP address by the first letter of a
// process's name: controllers, gateways, minions and workers.
var subnetPartByKind = map[byte]int{
	'c': 1,
	'g': 2,
	'm': 3,
	'w': 4,
}

// BinaryDir returns the folder that holds the built programs.
func (c *Cluster) BinaryDir() string {
	return c.binaryDir
}

// IP returns the IP address of a process, given its name such as "c1".
func (c *Cluster) IP(name string) string {
	n := 0
	_, _ = fmt.Sscanf(name[1:], "%d", &n)
	return fmt.Sprintf("127.%d.%d.%d", c.net, subnetPartByKind[name[0]], n)
}

// Address returns the address of the proxy through which others reach a process.
func (c *Cluster) Address(name string) string {
	return fmt.Sprintf("%s:%d", c.IP(name), proxyPort)
}

// DirectAddress returns the address that a process listens on, behind its proxy.
func (c *Cluster) DirectAddress(name string) string {
	return fmt.Sprintf("%s:%d", c.IP(name), servicePort)
}

// Names returns n numbered names of a kind: "c1", "c2" and so on.
func Names(kind string, n int) []string {
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("%s%d", kind, i+1)
	}
	return names
}

// addresses returns the proxied addresses of n processes of a kind.
func (c *Cluster) addresses(kind string, n int) string {
	names := Names(kind, n)
	for i, name := range names {
		names[i] = c.Address(name)
	}
	return strings.Join(names, ",")
}

// Gateways returns the proxied addresses of all gateways, separated by commas.
func (c *Cluster) Gateways() string {
	return c.addresses("g", c.cfg.Gateways)
}

// Start starts the configured controllers and gateways and forms the group.
func (c *Cluster) Start() error {
	for _, name := range Names("c", c.cfg.Controllers) {
		if err := c.StartController(name); err != nil {
			return err
		}
	}
	for _, name := range Names("g", c.cfg.Gateways) {
		if err := c.StartGateway(name); err != nil {
			return err
		}
	}
	return c.FormGroup()
}

// FormGroup forms a group of all controllers and waits until all gateways are ready.
func (c *Cluster) FormGroup() error {
	args := append([]string{"members", "form"}, strings.Split(c.addresses("c", c.cfg.Controllers), ",")...)
	var out string
	err := Eventually(30*time.Second, func() (err error) {
		out, err = c.RunCLI(args...)
		return err
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return Eventually(10*time.Second, func() error {
		for _, name := range Names("g", c.cfg.Gateways) {
			if !c.IsReady(name) {
				return errors.New(name + " is not ready")
			}
		}
		return nil
	})
}

// StartController starts a controller with its own data folder.
func (c *Cluster) StartController(name string) error {
	args := []string{
		"--listen", c.DirectAddress(name),
		"--source", c.IP(name),
		"--data-dir", c.DataDir(name),
		"--cluster-token", ClusterToken,
		"--worker-token", WorkerToken,
	}
	if c.cfg.SnapshotEvery > 0 {
		args = append(args, "--snapshot-every", fmt.Sprint(c.cfg.SnapshotEvery))
	}
	return c.start(name, "controller", args...)
}

// DataDir returns the path of a controller's data folder.
func (c *Cluster) DataDir(name string) string {
	return filepath.Join(c.cfg.Folder, name+"-data")
}

// StartGateway starts a gateway that knows the configured controllers.
func (c *Cluster) StartGateway(name string) error {
	return c.start(name, "gateway",
		"--name", name,
		"--listen", c.DirectAddress(name),
		"--source", c.IP(name),
		"--controllers", c.addresses("c", c.cfg.Controllers),
		"--cluster-token", ClusterToken,
		"--operator-token", OperatorToken,
		"--worker-token", WorkerToken,
		"--minion-token", MinionToken,
		"--drain-notice", c.cfg.DrainNotice.String(),
	)
}

// StartMinion starts a stand-in minion, which records its runs. The values of
// more are appended to its command line.
func (c *Cluster) StartMinion(name, dataCentre string, more ...string) error {
	return c.start(name, "standin", append([]string{
		"minion",
		"--name", name,
		"--data-centre", dataCentre,
		"--listen", c.DirectAddress(name),
		"--advertise", c.Address(name),
		"--gateways", c.Gateways(),
		"--token", MinionToken,
		"--source", c.IP(name),
		"--record", c.RecordPath("minions"),
	}, more...)...)
}

// StartWorkers starts a process with count stand-in workers, which record their
// tasks. A single worker is reached through the proxy; several listen on ports
// of their own, without it.
func (c *Cluster) StartWorkers(name, dataCentre string, count int, more ...string) error {
	args := []string{
		"worker",
		"--name", name,
		"--count", fmt.Sprint(count),
		"--data-centre", dataCentre,
		"--gateways", c.Gateways(),
		"--token", WorkerToken,
		"--source", c.IP(name),
		"--record", c.RecordPath("workers"),
	}
	if count == 1 {
		args = append(args, "--listen", c.DirectAddress(name), "--advertise", c.Address(name))
	} else {
		args = append(args, "--listen", c.IP(name)+":0")
	}
	return c.start(name, "standin", append(args, more...)...)
}

// RecordPath returns the path of a record that the stand-ins write, "minions" or
// "workers".
func (c *Cluster) RecordPath(name string) string {
	return filepath.Join(c.cfg.Folder, name+".record")
}

// RecordTail returns the last part of a record, for the report of a failed test.
func (c *Cluster) RecordTail(name string) string {
	const maxBytes = 6000
	b, _ := os.ReadFile(c.RecordPath(name))
	return string(b[max(0, len(b)-maxBytes):])
}

// start starts a process under a name, behind a proxy that outlives restarts.
func (c *Cluster) start(name, program string, args ...string) error {
	if _, started := c.processes[name]; !started {
		p, err := proxy.New(c.Network, name, c.Address(name), c.DirectAddress(name))
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, p)
		c.startOrder = append(c.startOrder, name)
	}
	c.processes[name] = newProcess(name, c.cfg.Folder, filepath.Join(c.binaryDir, program), args...)
	return c.processes[name].Start()
}

// Process returns a started process by its name, or nil.
func (c *Cluster) Process(name string) *Process {
	return c.processes[name]
}

// Restart starts a process that has exited again, with the same arguments.
func (c *Cluster) Restart(name string) error {
	return c.processes[name].Start()
}

// Isolate sets a fault on every link to and from a process.
func (c *Cluster) Isolate(name string, f proxy.Fault) {
	for _, other := range c.startOrder {
		c.Network.SetFault(c.IP(other), name, f)
		c.Network.SetFault(c.IP(name), other, f)
	}
	c.Network.SetFault("127.0.0.1", name, f)
}

// Close kills all processes, waits until they have exited and closes the proxies.
func (c *Cluster) Close() {
	for _, name := range c.startOrder {
		c.processes[name].Thaw()
		c.processes[name].Kill()
	}
	for _, p := range c.proxies {
		p.Close()
	}
}

// Logs returns the last part of each log, for the report of a failed test.
func (c *Cluster) Logs() string {
	const maxBytes = 1500
	var sb strings.Builder
	for _, name := range c.startOrder {
		text := c.processes[name].Log()
		if len(text) > maxBytes {
			text = text[len(text)-maxBytes:]
		}
		_, _ = fmt.Fprintf(&sb, "--- %s\n%s\n", name, text)
	}
	return sb.String()
}
