package command

import (
	"context"
	"strings"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

// keysCommand creates, digests and withdraws keys.
type keysCommand struct {
	New      *keysNewCommand      `arg:"subcommand:new" help:"make a key"`
	Digest   *keysDigestCommand   `arg:"subcommand:digest" help:"print the digest of a key"`
	Withdraw *keysWithdrawCommand `arg:"subcommand:withdraw" help:"take a key out of force"`
}

func (*keysCommand) describe() string {
	return `Keys are known to the system only by their SHA-256 digest, which is what
declarations and settings hold.
`
}

func (c *keysCommand) run(context.Context, *app) error {
	return usageErrorf("give one of: keys new, keys digest, keys withdraw")
}

// keysNewCommand creates a key.
type keysNewCommand struct {
	Team     string `arg:"-t,--team" help:"team that the key belongs to"`
	Operator bool   `arg:"--operator" help:"may apply declarations and drain workers"`
	Worker   bool   `arg:"--worker" help:"may announce workers"`
	Grant    bool   `arg:"--grant" help:"put the key in force now; needs an operator's key"`
	connection
	output
}

func (*keysNewCommand) describe() string {
	return `Makes a key and prints it once, with the entry for the declarations. With --grant
the key is put in force at once; add the entry to the declarations too, or the
next apply removes it.
`
}

// newKeyJSON is the JSON output of keys new.
type newKeyJSON struct {
	Key     string    `json:"key"`
	Entry   model.Key `json:"entry"`
	Version uint64    `json:"version,omitempty"` // with --grant
}

func (c *keysNewCommand) run(ctx context.Context, a *app) error {
	a.json = c.JSON
	if c.Team == "" && !c.Operator && !c.Worker {
		return usageErrorf("give --team, --operator or --worker")
	}
	key, digest := declare.NewKey()
	out := newKeyJSON{Key: key, Entry: model.Key{Digest: digest, Team: c.Team, Operator: c.Operator, Worker: c.Worker}}
	if c.Grant {
		ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
		if err != nil {
			return err
		}
		defer cancel()
		applied, err := cl.GrantKey(ctx, out.Entry)
		if err != nil {
			return err
		}
		out.Version = applied.Version
	}
	return a.printNewKey(out)
}

func (a *app) printNewKey(out newKeyJSON) error {
	if a.json {
		return a.writeJSON(out)
	}
	a.printf("%s\n", out.Key)
	if out.Version > 0 {
		a.printNote("in force with version %d", out.Version)
	}
	a.printNote("entry for the declarations:")
	a.printNote(`  {"keys": [%s]}`, keyEntryText(out.Entry))
	return nil
}

func keyEntryText(k model.Key) string {
	parts := []string{`"digest": "` + string(k.Digest) + `"`}
	if k.Team != "" {
		parts = append(parts, `"team": "`+k.Team+`"`)
	}
	if k.Operator {
		parts = append(parts, `"operator": true`)
	}
	if k.Worker {
		parts = append(parts, `"worker": true`)
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// keysDigestCommand prints the digest of a key.
type keysDigestCommand struct {
	File string `arg:"positional" default:"-" placeholder:"FILE" help:"file that holds the key, or - for standard input"`
}

func (*keysDigestCommand) describe() string {
	return `Prints the digest of a key that is read from a file or from standard input.
`
}

func (c *keysDigestCommand) run(_ context.Context, a *app) error {
	data, err := a.readInput(c.File)
	if err != nil {
		return err
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return usageErrorf("the input contains no key")
	}
	a.printf("%s\n", declare.DigestKey(key))
	return nil
}

// keysWithdrawCommand withdraws a key.
type keysWithdrawCommand struct {
	Digest string `arg:"positional,required" placeholder:"DIGEST" help:"digest of the key, whole"`
	connection
	output
}

func (*keysWithdrawCommand) describe() string {
	return `Takes a key out of force in every entry process within seconds. Remove it from
the declarations too, or the next apply grants it again. Needs an operator's key.
`
}

func (c *keysWithdrawCommand) run(ctx context.Context, a *app) error {
	digest := model.KeyDigest(c.Digest)
	if !declare.ValidDigest(digest) {
		return usageErrorf("a digest has 64 lower-case hex digits; for a key use keys digest")
	}
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	applied, err := cl.WithdrawKey(ctx, digest)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(applied)
	}
	a.printf("withdrawn with version %d\n", applied.Version)
	return nil
}
