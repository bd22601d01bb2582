package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func choose(t *testing.T, l *Lines, now model.Time, entries ...string) string {
	t.Helper()
	e, ok := l.Choose(entries, 10*time.Millisecond, now)
	assert.Assert(t, ok)
	return e
}

func TestAQuestionGoesToTheEntryWithTheLeastOpen(t *testing.T) {
	l := NewLines()
	l.Begin("a", 60*time.Millisecond)
	l.Begin("b", 30*time.Millisecond)
	assert.Equal(t, choose(t, l, 1000, "a", "b", "c"), "c")
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b")
	l.End("a", 60*time.Millisecond, true, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "a")
}

func TestAnEntryThatGaveNoAnswerIsAvoidedForAWhile(t *testing.T) {
	l := NewLines()
	const cost = 9 * time.Millisecond
	l.Begin("a", cost)
	l.Begin("b", 10*cost)
	l.End("a", cost, false, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b", "in spite of what is open there")
	assert.Equal(t, choose(t, l, 2999, "a", "b"), "b")
	assert.Equal(t, choose(t, l, 3000, "a", "b"), "a", "it may answer again")
}

func TestAnAnswerEndsTheAvoiding(t *testing.T) {
	l := NewLines()
	const cost = 50 * time.Millisecond
	l.Begin("a", cost)
	l.Begin("a", cost)
	l.End("a", cost, false, 1000)
	l.End("a", cost, true, 1010)
	l.Begin("b", cost)
	assert.Equal(t, choose(t, l, 1010, "a", "b"), "a")
}

func TestWithoutAGoodEntryAnyIsAsked(t *testing.T) {
	l := NewLines()
	l.Begin("a", time.Second)
	l.End("a", time.Second, false, 1000)
	assert.Equal(t, choose(t, l, 1001, "a"), "a")
	_, ok := l.Choose(nil, 0, 1001)
	assert.Assert(t, !ok)
}

func TestTheBoundOfAQuestionFollowsWhatIsOpen(t *testing.T) {
	l := NewLines()
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), time.Second)
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), 1600*time.Millisecond)
	assert.Equal(t, l.Begin("b", 0), 400*time.Millisecond)
}

func TestAnEntryThatHasEnoughIsAskedNothingMore(t *testing.T) {
	l := NewLines()
	l.Begin("a", fullAt)
	_, ok := l.Choose([]string{"a"}, time.Millisecond, 1000)
	assert.Assert(t, !ok, "what is sent keeps its place for good")
	l.End("a", fullAt, true, 1000)
	assert.Equal(t, choose(t, l, 1000, "a"), "a")
}

func TestLongQuestionsTakeHalfOfTheEntries(t *testing.T) {
	l := NewLines()
	entries := []string{"a", "b", "c"}
	for range 2 {
		e, ok := l.Choose(entries, long, 1000)
		assert.Assert(t, ok)
		l.Begin(e, long)
	}
	_, ok := l.Choose(entries, long, 1000)
	assert.Assert(t, !ok)
	_, ok = l.Choose(entries, long-1, 1000)
	assert.Assert(t, ok)
}
