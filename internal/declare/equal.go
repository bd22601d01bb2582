package declare

import (
	"maps"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// The comparisons below are written out without reflection, since a cell has
// thousands of items and each change compares them all. Empty and missing maps
// and lists are equal.

func sameTeam(a, b *model.Team) bool {
	return a.Name == b.Name && a.Share == b.Share && a.MaxRunning == b.MaxRunning &&
		a.MaxResources == b.MaxResources && maps.Equal(a.Labels, b.Labels)
}

func sameKey(a, b *model.Key) bool { return *a == *b }

func sameQueue(a, b *model.Queue) bool {
	return a.Name == b.Name && a.Workspace == b.Workspace && a.Team == b.Team && a.Open == b.Open &&
		slices.Equal(a.Teams, b.Teams) && a.Selector == b.Selector && maps.Equal(a.Labels, b.Labels) &&
		a.MaxPending == b.MaxPending && a.Shared == b.Shared && a.Public == b.Public && a.Route == b.Route &&
		a.Service == b.Service && a.Rank == b.Rank && a.MaxAttempts == b.MaxAttempts &&
		a.StretchPermille == b.StretchPermille && a.Allowance == b.Allowance && a.Policy == b.Policy
}

func sameService(a, b *model.Service) bool {
	return a.Name == b.Name && a.Workspace == b.Workspace && slices.Equal(a.Teams, b.Teams) &&
		a.MaxQueue == b.MaxQueue && a.MaxRequest == b.MaxRequest && a.MaxAnswer == b.MaxAnswer &&
		a.Deadline == b.Deadline
}
