package declare

import (
	"fmt"
	"testing"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Numbers of declared items in a large cell.
const (
	benchTeams    = 420
	benchQueues   = 1_260
	benchKeys     = 4_200
	benchServices = 420
)

func largeDeclarations() model.Declarations {
	var d model.Declarations
	for i := range benchTeams {
		d.Teams = append(d.Teams, model.Team{Name: fmt.Sprintf("team-%d", i), Share: 10, MaxRunning: 10_000})
	}
	for i := range benchQueues {
		team := fmt.Sprintf("team-%d", i%benchTeams)
		d.Queues = append(d.Queues, model.Queue{Name: fmt.Sprintf("queue-%d", i), Workspace: team, Team: team, Selector: "zone in (a,b),!spot"})
	}
	for i := range benchKeys {
		d.Keys = append(d.Keys, model.Key{Digest: DigestKey(fmt.Sprint(i)), Team: fmt.Sprintf("team-%d", i%benchTeams)})
	}
	for i := range benchServices {
		team := fmt.Sprintf("team-%d", i)
		d.Services = append(d.Services, model.Service{Name: "service-" + team, Workspace: team, Teams: []string{team}})
	}
	Normalize(&d)
	return d
}

func BenchmarkValidate(b *testing.B) {
	d := largeDeclarations()
	for b.Loop() {
		if len(Validate(&d)) > 0 {
			b.Fatal("the declarations are not valid")
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	d := largeDeclarations()
	for b.Loop() {
		Digest(&d)
	}
}

// withChangedShare returns a copy of d in which one team has another share.
func withChangedShare(d model.Declarations) model.Declarations {
	d.Teams = append([]model.Team(nil), d.Teams...)
	d.Teams[7].Share++
	return d
}

func BenchmarkDeltaOf(b *testing.B) {
	d := largeDeclarations()
	e := withChangedShare(d)
	var delta Delta
	for b.Loop() {
		delta = DeltaOf(&d, &e)
	}
	short, _ := canonical.Marshal(delta)
	whole, _ := canonical.Marshal(d)
	b.ReportMetric(float64(len(short)), "delta_bytes")
	b.ReportMetric(float64(len(whole)), "whole_bytes")
}

func BenchmarkDeltaBetween(b *testing.B) {
	d := largeDeclarations()
	e := withChangedShare(d)
	from, to := Digest(&d), Digest(&e)
	for b.Loop() {
		DeltaBetween(&d, &e, from, to)
	}
}

func BenchmarkApply(b *testing.B) {
	d := largeDeclarations()
	e := withChangedShare(d)
	delta := DeltaOf(&d, &e)
	for b.Loop() {
		if _, err := Apply(&d, delta.From, delta); err != nil {
			b.Fatal(err)
		}
	}
}
