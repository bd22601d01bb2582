package command

import (
	"context"
	"strings"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// declarationsOptions holds the option for a folder of declarations.
type declarationsOptions struct {
	Dir string `arg:"-f,--declarations,required" placeholder:"DIR" help:"folder of declarations"`
}

// comparison is the difference between a folder of declarations and the
// declarations in force.
type comparison struct {
	wanted   model.Declarations
	findings strict.Problems // of wanted
	view     api.DeclarationsView
	changes  []declare.Change
}

func (o declarationsOptions) load() (model.Declarations, strict.Problems, error) {
	d, problems, findings := declare.ReviewDir(o.Dir, declare.Bounds{})
	return d, findings, problems.Err()
}

// compare loads the folder and compares it with the declarations in force.
func (o declarationsOptions) compare(ctx context.Context, cl *client.Client) (comparison, error) {
	wanted, findings, err := o.load()
	if err != nil {
		return comparison{}, err
	}
	view, err := cl.Declarations(ctx)
	if err != nil {
		return comparison{}, err
	}
	return comparison{wanted, findings, view, declare.Diff(&view.Declarations, &wanted)}, nil
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
