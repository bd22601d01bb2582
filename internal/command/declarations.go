package command

import (
	"context"
	"strings"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

// declarationsOptions holds the option for a folder of declarations.
type declarationsOptions struct {
	Dir string `arg:"-f,--declarations,required" placeholder:"DIR" help:"folder of declarations"`
}

// comparison is the difference between a folder of declarations and the
// declarations in force.
type comparison struct {
	wanted  model.Declarations
	view    api.DeclarationsView
	changes []declare.Change
}

func (o declarationsOptions) load() (model.Declarations, error) {
	d, problems := declare.LoadDir(o.Dir)
	return d, problems.Err()
}

// compare loads the folder and compares it with the declarations in force.
func (o declarationsOptions) compare(ctx context.Context, cl *client.Client) (comparison, error) {
	wanted, err := o.load()
	if err != nil {
		return comparison{}, err
	}
	view, err := cl.Declarations(ctx)
	if err != nil {
		return comparison{}, err
	}
	return comparison{wanted, view, declare.Diff(&view.Declarations, &wanted)}, nil
}

func (a *app) printChanges(changes []declare.Change) {
	for _, c := range changes {
		a.printf("%s\n", c)
	}
}

func declarationCounts(d model.Declarations) string {
	return strings.Join([]string{
		plural(len(d.Teams), "team"),
		plural(len(d.Keys), "key"),
		plural(len(d.Queues), "queue"),
		plural(len(d.Prices), "price step"),
		plural(len(d.Services), "service"),
	}, ", ")
}
