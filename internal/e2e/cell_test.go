package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/standin"
	"github.com/filbertmast/filbertmast/internal/testport"
	"github.com/filbertmast/filbertmast/internal/testwait"
)

// eventTimeout bounds each wait for an event; the test fails once it has passed.
const eventTimeout = 60 * time.Second

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "filbertmast-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "filbertmast")
	args := append([]string{"build", "-o", binary}, buildFlags...)
	build := exec.Command("go", append(args, "../../cmd/filbertmast")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one process that runs the built binary.
type process struct {
	t        testing.TB
	name     string
	settings *settings.Settings // nil for stand-ins
	args     []string
	env      []string
	log      string
	cmd      *exec.Cmd
	exited   chan error
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer out.Close()
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(p.t, p.cmd.Start())
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(p.cmd, p.exited)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s), p.name)
}

func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// terminate asks the process to shut down and returns its exit error.
func (p *process) terminate() error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		return err
	case <-time.After(eventTimeout):
		p.t.Fatalf("%s did not exit after SIGTERM", p.name)
		return nil
	}
}

// cell is a running deployment with its stand-ins and its keys.
type cell struct {
	t          testing.TB
	dir        string
	operator   string // key
	processes  []*process
	standins   []*process
	histories  []string
	keys       map[string]string // by team
	version    uint64
	applyCount int
}

// shape is the number of processes in a cell and an adjustment of their settings.
type shape struct {
	control int // processes with the control and the entry role
	entries int // processes with the entry role alone
	adjust  func(*settings.Settings)
}

// newCell starts a cell and waits until every entry is ready.
func newCell(t testing.TB, sh shape) *cell {
	t.Helper()
	key, digest := declare.NewKey()
	c := &cell{t: t, dir: t.TempDir(), operator: key, keys: make(map[string]string)}
	inner := freeAddresses(t, "udp", sh.control+sh.entries)
	outer := freeAddresses(t, "tcp", sh.control+sh.entries)
	var members []certs.Subject
	for i := range inner {
		members = append(members, certs.Subject{Name: fmt.Sprintf("p%d", i), IPs: []net.IP{net.IPv4(127, 0, 0, 1)}})
	}
	assert.NilError(t, certs.WriteCertificates(filepath.Join(c.dir, "certs"), members...))
	for i := range inner {
		set := c.settingsOf(i, inner, outer, sh)
		set.Bootstrap.OperatorKeyDigest = string(digest)
		c.addProcess(set)
	}
	t.Cleanup(c.close)
	for _, p := range c.processes {
		p.start()
	}
	for _, p := range c.processes {
		c.awaitReady(p)
	}
	return c
}

func (c *cell) settingsOf(i int, inner, outer []string, sh shape) *settings.Settings {
	name := fmt.Sprintf("p%d", i)
	set := settings.Default()
	set.Name = name
	set.Roles = []settings.Role{settings.RoleEntry}
	if i < sh.control {
		set.Roles = append(set.Roles, settings.RoleControl)
		set.Data.Dir = filepath.Join(c.dir, name)
	}
	set.Region, set.FailureDomain = "south", []string{"selfoss", "hvolsvollur"}[i%2]
	set.Inner.Address = inner[i]
	set.Inner.Certificate = filepath.Join(c.dir, "certs", certs.CertificateFile(name))
	set.Inner.Key = filepath.Join(c.dir, "certs", certs.KeyFile(name))
	set.Inner.CA = filepath.Join(c.dir, "certs", certs.CAFile)
	set.Outer.Address = outer[i]
	set.Control.Founders = inner[:sh.control]
	set.Limits.WorkerLease = model.Duration(3 * time.Second)
	set.Limits.RequestLease = model.Duration(2 * time.Second)
	set.Limits.RequestTimeout = model.Duration(4 * time.Second)
	set.Limits.MaxDeadline = model.Duration(5 * time.Second)
	set.Limits.ShutdownDelay = model.Duration(time.Second)
	set.Log.Level = "debug"
	if sh.adjust != nil {
		sh.adjust(set)
	}
	return set
}

func (c *cell) addProcess(set *settings.Settings) *process {
	c.t.Helper()
	path := filepath.Join(c.dir, set.Name+".json")
	data, err := json.MarshalIndent(set, "", "  ")
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	p := &process{t: c.t, name: set.Name, settings: set, log: filepath.Join(c.dir, set.Name+".log"),
		args: []string{"serve", "--settings", path}}
	c.processes = append(c.processes, p)
	return p
}

// close kills all processes, fails the test if one of them has reported a data
// race, and shows the logs of a failed test.
func (c *cell) close() {
	all := append(c.processes, c.standins...)
	for _, p := range all {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		data, _ := os.ReadFile(p.log)
		if i := bytes.Index(data, []byte("WARNING: DATA RACE")); i >= 0 {
			c.t.Errorf("%s reported a data race:\n%s", p.name, data[i:min(len(data), i+4<<10)])
		}
	}
	if !c.t.Failed() {
		return
	}
	for _, p := range all {
		if data, err := os.ReadFile(p.log); err == nil {
			const most = 12 << 10
			c.t.Logf("--- %s\n%s", p.name, data[max(0, len(data)-most):])
		}
	}
}

func (c *cell) awaitReady(p *process) {
	c.t.Helper()
	c.await("ready: "+p.name, func() error {
		return c.clientOf(c.operator, p).Ready(context.Background())
	})
}

// await calls check until it returns nil.
func (c *cell) await(what string, check func() error) {
	c.t.Helper()
	testwait.Until(c.t, eventTimeout, what, check)
}

// clientOf returns a client for the given processes, or for all if none is given.
func (c *cell) clientOf(key string, ps ...*process) *client.Client {
	c.t.Helper()
	if len(ps) == 0 {
		ps = c.processes
	}
	var bases []string
	for _, p := range ps {
		bases = append(bases, "http://"+p.settings.Outer.Address)
	}
	cl, err := client.New(client.Options{Addresses: bases, Key: key})
	assert.NilError(c.t, err)
	return cl
}

// baseDeclarations returns declarations of one team with a queue, a service and
// keys, and remembers the team's key.
func (c *cell) baseDeclarations() model.Declarations {
	team, teamDigest := declare.NewKey()
	c.keys["stands"] = team
	return model.Declarations{
		Teams:  []model.Team{{Name: "stands", Share: 1, MaxRunning: 1000}},
		Queues: []model.Queue{{Name: "rows", Workspace: "plans", Team: "stands"}},
		Keys: []model.Key{
			{Digest: teamDigest, Team: "stands"},
			{Digest: declare.DigestKey(c.operator), Team: "stands", Operator: true, Worker: true},
		},
		Prices: []model.PricePoint{
			{Patience: 0, MicroUnits: 100},
			{Patience: model.Duration(time.Hour), MicroUnits: 10},
		},
		Services: []model.Service{{Name: "fit", Workspace: "plans"}},
	}
}

// apply applies declarations and records their version. It does not wait until
// the entries have them; awaitVersion does.
func (c *cell) apply(d model.Declarations, via ...*process) {
	c.t.Helper()
	c.applyCount++
	got, err := c.clientOf(c.operator, via...).Apply(context.Background(), api.Apply{
		Base: c.version, ApplyID: fmt.Sprintf("apply-%d", c.applyCount), Declarations: d})
	assert.NilError(c.t, err)
	c.version = got.Version
}

func (c *cell) awaitVersion(ps ...*process) {
	c.t.Helper()
	if len(ps) == 0 {
		ps = c.processes
	}
	for _, p := range ps {
		c.await("version in force at "+p.name, func() error {
			st, err := c.clientOf(c.operator, p).Status(context.Background())
			if err != nil {
				return err
			}
			for _, e := range st.Entries {
				if e.ID == p.name && e.Version >= c.version {
					return nil
				}
			}
			return fmt.Errorf("version %d is not in force yet: %+v", c.version, st.Entries)
		})
	}
}

// startStandin starts a stand-in worker or executor with the addresses of the
// given entries.
func (c *cell) startStandin(kind, id string, entries []*process, extra ...string) *process {
	c.t.Helper()
	history := filepath.Join(c.dir, id+".history")
	c.histories = append(c.histories, history)
	var bases string
	for i, p := range entries {
		if i > 0 {
			bases += ","
		}
		bases += "http://" + p.settings.Outer.Address
	}
	args := append([]string{"standin", kind, "--id", id, "--region", "south", "--failure-domain", "selfoss",
		"--history", history}, extra...)
	p := &process{t: c.t, name: id, args: args, log: filepath.Join(c.dir, id+".log"),
		env: []string{"FILBERTMAST_ADDRESS=" + bases, "FILBERTMAST_KEY=" + c.operator}}
	c.standins = append(c.standins, p)
	p.start()
	return p
}

// awaitWorkers waits until at least n workers are open.
func (c *cell) awaitWorkers(n int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d open workers", n), func() error {
		ws, err := c.clientOf(c.operator).Workers(context.Background(), "")
		if err != nil {
			return err
		}
		open := 0
		for _, w := range ws {
			if w.Mode == model.WorkerOpen.String() {
				open++
			}
		}
		if open < n {
			return fmt.Errorf("only %d workers are open", open)
		}
		return nil
	})
}

// checkHistory checks that the histories of the stand-ins violate no guarantee,
// and returns their events.
func (c *cell) checkHistory() []standin.Event {
	c.t.Helper()
	events, err := standin.ReadHistory(c.histories...)
	assert.NilError(c.t, err)
	violations := standin.CheckHistory(events)
	assert.Equal(c.t, len(violations), 0, "%v", violations)
	return events
}

func freeAddresses(t testing.TB, network string, n int) []string {
	t.Helper()
	out := make([]string, n)
	for i := range n {
		out[i] = testport.Free(t, network)
	}
	return out
}
