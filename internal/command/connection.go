package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/client"
)

// connection holds the options of commands that call a deployment.
type connection struct {
	Address string        `arg:"-a,--address,env:FILBERTMAST_ADDRESS" default:"http://127.0.0.1:8080" placeholder:"URL,..." help:"entry processes, tried in turn"`
	KeyFile string        `arg:"--key-file" placeholder:"FILE" help:"file that holds the key; goes before FILBERTMAST_KEY"`
	CA      string        `arg:"--ca" placeholder:"FILE" help:"authority that has signed the entry processes' certificates"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"for the whole call with its retries"`
	Key     string        `arg:"--,env:FILBERTMAST_KEY" help:"the caller's or operator's key"`
}

// client returns a client for the options. On a terminal it prints each retry.
func (c *connection) client(a *app) (*client.Client, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	o := client.Options{Addresses: strings.Split(c.Address, ","), Key: key}
	if c.CA != "" {
		if o.HTTP, err = newHTTPClient(c.CA); err != nil {
			return nil, err
		}
	}
	if a.Terminal && !a.json {
		o.OnRetry = func(r client.Retry) {
			fmt.Fprintf(a.Err, "retry in %s at %s: %v\n", r.Wait.Round(time.Millisecond), r.Address, r.Err)
		}
	}
	cl, err := client.New(o)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return cl, nil
}

func (c *connection) key() (string, error) {
	if c.KeyFile == "" {
		return strings.TrimSpace(c.Key), nil
	}
	data, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", usageErrorf("%v", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// newHTTPClient returns an HTTP client that trusts only the certificate
// authorities in a PEM file.
func newHTTPClient(file string) (*http.Client, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageErrorf("%s contains no certificate in PEM format", file)
	}
	return client.NewHTTP(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}), nil
}

// prepare sets the output format and returns the client and a context that ends
// after the timeout of the options.
func (c *connection) prepare(ctx context.Context, a *app, o output) (context.Context, context.CancelFunc, *client.Client, error) {
	a.json = o.JSON
	cl, err := c.client(a)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	return ctx, cancel, cl, nil
}
