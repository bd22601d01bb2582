package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func choose(t *testing.T, l *Lines, now model.Time, entries ...string) string {
	t.Helper()
	e, ok := l.Choose(entries, now)
	assert.Assert(t, ok)
	return e
}

func TestAQuestionGoesToTheEntryWithTheLeastOpen(t *testing.T) {
	l := NewLines()
	l.Begin("a", 300*time.Millisecond)
	l.Begin("b", 100*time.Millisecond)
	assert.Equal(t, choose(t, l, 1000, "a", "b", "c"), "c")
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b")
	l.End("a", 300*time.Millisecond, true, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "a")
}

func TestAnEntryThatGaveNoAnswerIsAvoidedForAWhile(t *testing.T) {
	l := NewLines()
	const cost = 100 * time.Millisecond
	l.Begin("a", cost)
	l.Begin("b", 10*cost)
	l.End("a", cost, false, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b", "in spite of what is open there")
	assert.Equal(t, choose(t, l, 2999, "a", "b"), "b")
	assert.Equal(t, choose(t, l, 3000, "a", "b"), "a", "it may answer again")
}

func TestAnAnswerEndsTheAvoiding(t *testing.T) {
	l := NewLines()
	const cost = 100 * time.Millisecond
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
	_, ok := l.Choose(nil, 1001)
	assert.Assert(t, !ok)
}

func TestTheBoundOfAQuestionFollowsWhatIsOpen(t *testing.T) {
	l := NewLines()
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), time.Second)
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), 1600*time.Millisecond)
	assert.Equal(t, l.Begin("b", 0), 400*time.Millisecond)
}
