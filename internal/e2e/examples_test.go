package e2e

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
)

// TestExampleDeploymentsStart starts every process of the example deployments,
// with their addresses moved to the loopback range. Their declarations must reach
// every process.
func TestExampleDeploymentsStart(t *testing.T) {
	for _, name := range []string{"beehive-workshop", "lifeguard-rota"} {
		t.Run(name, func(t *testing.T) {
			key, digest := declare.NewKey()
			c := &cell{t: t, dir: t.TempDir(), operator: key}
			t.Cleanup(c.close)
			root := filepath.Join("../../examples", name)
			files, err := filepath.Glob(filepath.Join(root, "settings", "*.json"))
			assert.NilError(t, err)
			var members []certs.Subject
			for _, file := range files {
				set := c.exampleSettings(file)
				set.Bootstrap.OperatorKeyDigest = string(digest)
				c.addProcess(set)
				host, _, err := net.SplitHostPort(set.Inner.Address)
				assert.NilError(t, err)
				members = append(members, certs.Subject{Name: set.Name, IPs: []net.IP{net.ParseIP(host)}})
			}
			assert.NilError(t, certs.WriteCertificates(filepath.Join(c.dir, "certs"), members...))
			for _, p := range c.processes {
				p.start()
			}
			for _, p := range c.processes {
				c.awaitReady(p)
			}
			d, problems := declare.LoadDir(filepath.Join(root, "declarations"))
			assert.NilError(t, problems.Err())
			d.Keys = append(d.Keys, model.Key{Digest: digest, Team: d.Teams[0].Name, Operator: true})
			c.apply(d)
			c.awaitVersion()
		})
	}
}

// exampleSettings reads a settings file of an example, with the addresses moved
// from the private range to the loopback range and the files to the cell's folder.
func (c *cell) exampleSettings(file string) *settings.Settings {
	c.t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(c.t, err)
	text := strings.ReplaceAll(string(data), `"10.`, `"127.`)
	set, problems := settings.Parse(filepath.Join(c.dir, filepath.Base(file)), []byte(text))
	assert.NilError(c.t, problems.Err())
	if set.Has(settings.RoleControl) {
		set.Data.Dir = filepath.Join(c.dir, "data-"+set.Name)
	}
	return set
}
