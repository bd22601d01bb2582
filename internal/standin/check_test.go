package standin

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func fence(i uint64) model.Fence { return model.Fence{Term: 1, Index: i} }

func taskEvent(at int64, k EventKind, worker string, f uint64) Event {
	return Event{At: at, Kind: k, Worker: worker, Task: task1, Fence: fence(f)}
}

func request(at int64, executor, id, key string, notRepeatable bool) Event {
	return Event{At: at, Kind: EventRequestBegin, Executor: executor, Request: id, Key: key, NotRepeatable: notRepeatable, Concurrent: 1, Limit: 8}
}

func TestCheckHistory(t *testing.T) {
	for name, row := range map[string]struct {
		events []Event
		want   []Rule
	}{
		"a task that starts elsewhere after its stop violates no rule": {
			[]Event{taskEvent(1, EventStart, "a", 1), taskEvent(5, EventStop, "a", 1), taskEvent(6, EventStart, "b", 2), taskEvent(9, EventEnd, "b", 2)}, nil},
		"a task that starts elsewhere before its stop overlaps": {
			[]Event{taskEvent(1, EventStart, "a", 1), taskEvent(6, EventStart, "b", 2), taskEvent(7, EventStop, "a", 1)}, []Rule{RuleNoOverlap}},
		"a short second run inside a long first one is found": {
			[]Event{taskEvent(1, EventStart, "a", 1), taskEvent(2, EventStart, "b", 2), taskEvent(3, EventEnd, "b", 2), taskEvent(9, EventEnd, "a", 1)}, []Rule{RuleNoOverlap}},
		"a third run that overlaps the first, and not the second, is found": {
			[]Event{taskEvent(1, EventStart, "a", 1), taskEvent(2, EventStart, "b", 2), taskEvent(3, EventEnd, "b", 2), taskEvent(4, EventStart, "c", 3), taskEvent(5, EventEnd, "c", 3), taskEvent(9, EventEnd, "a", 1)}, []Rule{RuleNoOverlap, RuleNoOverlap}},
		"a killed worker runs nothing after its lease": {
			[]Event{{At: 0, Kind: EventLease, Worker: "a", Until: 5}, taskEvent(1, EventStart, "a", 1), taskEvent(6, EventStart, "b", 2), taskEvent(8, EventEnd, "b", 2)}, nil},
		"a killed worker counts as running until its lease ends": {
			[]Event{{At: 0, Kind: EventLease, Worker: "a", Until: 7}, taskEvent(1, EventStart, "a", 1), taskEvent(6, EventStart, "b", 2), taskEvent(8, EventEnd, "b", 2)}, []Rule{RuleNoOverlap}},
		"the boot of a worker ends its earlier runs": {
			[]Event{{At: 0, Kind: EventLease, Worker: "a", Until: 9}, taskEvent(1, EventStart, "a", 1), {At: 3, Kind: EventBoot, Worker: "a"}, taskEvent(4, EventStart, "b", 2), taskEvent(5, EventEnd, "b", 2)}, nil},
		"an older attempt after a newer one on one worker is found": {
			[]Event{taskEvent(1, EventStart, "a", 2), taskEvent(2, EventEnd, "a", 2), taskEvent(3, EventStart, "a", 1), taskEvent(4, EventEnd, "a", 1)}, []Rule{RuleFenceOrder}},
		"a start after the end of the lease is found": {
			[]Event{{At: 0, Kind: EventLease, Worker: "a", Until: 2}, taskEvent(3, EventStart, "a", 1), taskEvent(4, EventEnd, "a", 1)}, []Rule{RuleInsideLease}},
		"a repeatable request may run twice": {
			[]Event{request(1, "x", "r", "", false), request(2, "y", "r", "", false)}, nil},
		"a request that is not repeatable and ran twice is found by its ID": {
			[]Event{request(1, "x", "r", "", true), request(2, "y", "r", "", true)}, []Rule{RuleAtMostOnce}},
		"a resend under another request ID is found by its key": {
			[]Event{request(1, "x", "r", "k", true), request(2, "y", "s", "k", true)}, []Rule{RuleAtMostOnce}},
		"more requests than slots are found": {
			[]Event{{At: 1, Kind: EventRequestBegin, Executor: "x", Request: "r", Concurrent: 9, Limit: 8}}, []Rule{RuleSlots}},
		"more connections than allowed are found": {
			[]Event{{At: 1, Kind: EventConnections, Executor: "x", Concurrent: 61, Limit: 60}}, []Rule{RuleConnections}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []Rule
			for _, v := range CheckHistory(row.events) {
				got = append(got, v.Rule)
			}
			assert.DeepEqual(t, got, row.want)
		})
	}
}
