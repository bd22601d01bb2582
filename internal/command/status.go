package command

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
)

// statusCommand shows the state of a deployment.
type statusCommand struct {
	connection
	output
}

func (*statusCommand) describe() string {
	return `Shows the leader, the replicas, the entry processes with the configuration in
force there, the failure domains that are evacuated, and what each team uses. Needs
an operator's key.
`
}

func (c *statusCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(status)
	}
	return a.printStatus(status)
}

func (a *app) printStatus(s api.Status) error {
	a.printf("leader %s, term %d, index %d; seen from entry %s\n", s.Leader, s.Term, s.Index, s.Entry)
	a.printf("declarations version %d\n", s.Version)
	a.printf("%d jobs, %d tasks running, %d waiting, %d workers\n", s.Jobs, s.Running, s.Waiting, s.Workers)
	a.printf("accepted work takes %s of %s\n\n", mebibytes(s.AcceptedBytes), mebibytes(s.AcceptedLimit))
	if err := a.table([]string{"REPLICA", "ADDRESS", "VOTER", "MATCH"}, replicaRows(s.Replicas)); err != nil {
		return err
	}
	a.printf("\n")
	if err := a.table([]string{"ENTRY", "ADDRESS", "FAILURE DOMAIN", "VERSION", "HEARD"}, entryRows(s.Entries)); err != nil {
		return err
	}
	a.printf("\n")
	if len(s.Evacuations) > 0 {
		if err := a.printEvacuations(s.Evacuations); err != nil {
			return err
		}
		a.printf("\n")
	}
	return a.printTeams(s)
}

func replicaRows(replicas []api.ReplicaView) [][]string {
	rows := make([][]string, 0, len(replicas))
	for _, r := range replicas {
		rows = append(rows, []string{r.ID, r.Address, strconv.FormatBool(r.Voter), strconv.FormatUint(r.MatchIndex, 10)})
	}
	return rows
}

func entryRows(entries []api.EntryView) [][]string {
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		age := time.Duration(e.AgeMS) * time.Millisecond
		rows = append(rows, []string{e.ID, e.Address, e.FailureDomain, strconv.FormatUint(e.Version, 10), age.String() + " ago"})
	}
	return rows
}

// mebibytes formats a number of bytes.
func mebibytes(bytes int64) string { return fmt.Sprintf("%.1f MiB", float64(bytes)/(1<<20)) }

// printTeams shows the teams, with their past use if it counts.
func (a *app) printTeams(s api.Status) error {
	header := []string{"TEAM", "RUNNING", "LIMIT", "PERMITS", "RESERVED", "CHARGED", "REFUNDED", "ACCEPTED"}
	rows := teamRows(s.Teams)
	if s.PastUseHalfLife == 0 {
		return a.table(header, rows)
	}
	header = append(header, "PAST LOAD", "PAST USE")
	for i := range rows {
		load, average := "-", "-"
		if past := s.Teams[i].PastUse; past != nil {
			load, average = fmt.Sprintf("%.2f", float64(past.LoadPermille)/1000), past.Average.String()
		}
		rows[i] = append(rows[i], load, average)
	}
	if err := a.table(header, rows); err != nil {
		return err
	}
	a.printf("\npast use counts in the order of teams, with a half-life of %s\n", s.PastUseHalfLife)
	return nil
}

func teamRows(teams []api.TeamView) [][]string {
	rows := make([][]string, 0, len(teams))
	for _, t := range teams {
		rows = append(rows, []string{
			t.Team, formatInt(t.Running), formatInt(t.Limit), formatInt(t.RequestPermits), t.Reserved.String(), formatInt(t.Charged), formatInt(t.Refunded),
			mebibytes(t.AcceptedBytes),
		})
	}
	return rows
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
