package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/standin"
)

// DevOptions are the options of Dev.
type DevOptions struct {
	DataDir string    // empty: a temporary folder, removed when Dev returns
	Address string    // of the HTTP listener, IP:port
	Once    bool      // return after the example job
	Out     io.Writer // receives progress messages
}

// exampleTimeout bounds the example, from applying the declarations to the end
// of its job.
const exampleTimeout = 30 * time.Second

// dev is a running single-process deployment.
type dev struct {
	opts        DevOptions
	process     *Process
	operatorKey string // key
	callerKey   string // key
}

// Dev runs the control and entry roles and a stand-in worker in this process,
// runs an example job and, unless o.Once is set, serves until ctx ends.
func Dev(ctx context.Context, o DevOptions) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.DataDir == "" {
		dir, err := os.MkdirTemp("", "filbertmast-dev-")
		if err != nil {
			return errkind.Wrap(errkind.Internal, err, "create a temporary data folder")
		}
		defer os.RemoveAll(dir)
		o.DataDir = dir
	}
	d := &dev{opts: o}
	if err := d.start(); err != nil {
		return err
	}
	defer d.process.Shutdown()
	workerDone := d.startWorker(ctx)
	if err := d.runExample(ctx); err != nil {
		return err
	}
	if !o.Once {
		fmt.Fprintf(o.Out, "Serving on http://%s until interrupted.\n", d.address())
		fmt.Fprintf(o.Out, "  export FILBERTMAST_ADDRESS=http://%s FILBERTMAST_KEY=%s\n", d.address(), d.callerKey)
		fmt.Fprintf(o.Out, "The operator's key, for status, workers and apply: %s\n", d.operatorKey)
		<-ctx.Done()
	}
	cancel()
	<-workerDone
	return nil
}

func (d *dev) address() string { return d.process.OuterAddress() }

// start starts the process with the operator key of the data folder.
func (d *dev) start() error {
	var err error
	if d.operatorKey, err = devOperatorKey(d.opts.DataDir); err != nil {
		return err
	}
	inner, err := freeUDP()
	if err != nil {
		return err
	}
	set := settings.Default()
	set.Name = "dev"
	set.Roles = []settings.Role{settings.RoleControl, settings.RoleEntry}
	set.Region, set.FailureDomain = "local", "local"
	set.Inner.Address = inner
	set.Outer.Address = d.opts.Address
	set.Data.Dir = filepath.Join(d.opts.DataDir, "state")
	set.Control.Founders = []string{inner}
	set.Limits.ShutdownDelay = 0
	set.Log.Level = "warn"
	set.Bootstrap.OperatorKeyDigest = string(declare.DigestKey(d.operatorKey))
	conf, err := certs.SelfSigned(net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	d.process, err = Start(set, Options{TLS: conf})
	return err
}

// devOperatorKeyFile is the name of the file with the operator key in the data folder.
const devOperatorKeyFile = "operator-key"

// devOperatorKey returns the operator key that an earlier start stored in the data
// folder, since only that one is declared there, or stores a new one. It returns an
// error of kind BadRequest if the stored key is empty.
func devOperatorKey(dir string) (string, error) {
	path := filepath.Join(dir, devOperatorKeyFile)
	stored, err := os.ReadFile(path)
	if err == nil {
		if key := strings.TrimSpace(string(stored)); key != "" {
			return key, nil
		}
		return "", errkind.New(errkind.BadRequest, "%s is empty; remove the data folder to begin anew", path)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", errkind.Wrap(errkind.Internal, err, "read the operator key")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "create the data folder")
	}
	key, _ := declare.NewKey()
	if err := os.WriteFile(path, []byte(key+"\n"), 0o600); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "store the operator key")
	}
	return key, nil
}

// freeUDP returns a loopback IP:port that is free for UDP at the moment.
func freeUDP() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "find a free inner address")
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// startWorker runs the stand-in worker until ctx ends. The returned channel is
// closed once the worker has stopped.
func (d *dev) startWorker(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := standin.RunWorker(ctx, standin.WorkerOptions{
			Entries: []string{"http://" + d.address()},
			Key:     d.operatorKey,
			Spec: model.WorkerSpec{
				ID:            "dev-worker",
				Capacity:      model.Resources{CPU: 4000, Memory: 8 << 10},
				Region:        "local",
				FailureDomain: "local",
			},
			TaskTime:        time.Second,
			ExecutorAddress: "127.0.0.1",
			LeaveTimeout:    time.Second,
			Logger:          log.New(io.Discard),
		})
		if err != nil && ctx.Err() == nil {
			fmt.Fprintln(d.opts.Out, "The stand-in worker failed:", err)
		}
	}()
	return done
}

// runExample applies the example declarations, submits one job and waits until
// it has ended.
func (d *dev) runExample(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exampleTimeout)
	defer cancel()
	out := d.opts.Out
	fmt.Fprintln(out, "1. Started one control and entry process and a stand-in worker of 4 cores.")
	if err := d.applyDeclarations(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "2. Applied declarations: team \"example\", queue \"example\", service \"echo\".")
	c, err := client.New(client.Options{Addresses: []string{"http://" + d.address()}, Key: d.callerKey})
	if err != nil {
		return err
	}
	job, err := d.submit(ctx, c)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "3. Submitted job %s: 3 tasks of one second, patient for a minute, at %d micro-units a core-second.\n", job.ID, job.Price)
	for job.Phase == "waiting" || job.Phase == "running" {
		if job, err = c.Job(ctx, job.ID, client.JobQuery{Wait: model.Duration(10 * time.Second)}); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "4. Job %s %s: %d of %d tasks succeeded, charged %d micro-units.\n",
		job.ID, job.Phase, job.Counts.Succeeded, job.Spec.Tasks, job.Charged)
	for _, t := range job.Tasks {
		fmt.Fprintf(out, "   task %d %s on %s\n", t.Index, t.Phase, t.Worker)
	}
	return nil
}

// submit submits the example job.
func (d *dev) submit(ctx context.Context, c *client.Client) (api.JobView, error) {
	spec := model.JobSpec{
		Name:     "example",
		Policy:   model.PolicyBatch,
		Tasks:    3,
		Size:     model.Resources{CPU: 1000, Memory: 512},
		RunTime:  model.Duration(time.Second),
		Patience: model.Duration(time.Minute),
	}
	return c.Submit(ctx, spec, client.NewIdempotencyKey())
}

func (d *dev) applyDeclarations(ctx context.Context) error {
	var digest model.KeyDigest
	d.callerKey, digest = declare.NewKey()
	c, err := client.New(client.Options{Addresses: []string{"http://" + d.address()}, Key: d.operatorKey})
	if err != nil {
		return err
	}
	current, err := c.Declarations(ctx)
	if err != nil {
		return err
	}
	_, err = c.Apply(ctx, api.Apply{
		Base:    current.Version,
		ApplyID: "dev-" + string(digest),
		Declarations: model.Declarations{
			Teams:  []model.Team{{Name: "example", Share: 1, MaxRunning: 100}},
			Queues: []model.Queue{{Name: "example", Workspace: "example", Team: "example"}},
			Keys: []model.Key{
				{Digest: digest, Team: "example"},
				{Digest: declare.DigestKey(d.operatorKey), Team: "example", Operator: true, Worker: true},
			},
			Prices: []model.PricePoint{
				{Patience: 0, MicroUnits: 100},
				{Patience: model.Duration(time.Minute), MicroUnits: 40},
				{Patience: model.Duration(time.Hour), MicroUnits: 10},
			},
			Services: []model.Service{{Name: "echo", Workspace: "example"}},
		},
	})
	return err
}
