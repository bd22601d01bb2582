package state

import (
	"bytes"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// nestingOf returns the nesting of the encoding of a type. A type that contains itself fails
// the test, since its values have no bound.
func nestingOf(t *testing.T, typ reflect.Type, path []reflect.Type) int {
	for _, outer := range path {
		assert.Assert(t, outer != typ, "%s contains itself", typ)
	}
	inner := func(types ...reflect.Type) (most int) {
		for _, in := range types {
			most = max(most, nestingOf(t, in, append(path[:len(path):len(path)], typ)))
		}
		return most
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return inner(typ.Elem())
	case reflect.Slice, reflect.Array:
		return 1 + inner(typ.Elem())
	case reflect.Map:
		return 1 + inner(typ.Key(), typ.Elem())
	case reflect.Struct:
		var fields []reflect.Type
		for i := range typ.NumField() {
			if f := typ.Field(i); f.IsExported() {
				fields = append(fields, f.Type)
			}
		}
		return 1 + inner(fields...)
	case reflect.Interface:
		t.Fatalf("%s has no bound", typ)
	}
	return 0
}

// Guards against an entry or a snapshot that is written and cannot be read: it ends every replica, again and again.
func TestNestingOfWrittenTypesIsWithinTheDecoder(t *testing.T) {
	for _, v := range []any{Command{}, snapshotHeader{}, Job{}} {
		n := nestingOf(t, reflect.TypeOf(v), nil)
		assert.Assert(t, n > 0 && n <= maxNesting, "%T is nested %d levels deep", v, n)
	}
}

// Guards against an entry that is committed and skipped by every replica, so that its caller waits for nothing.
func TestStringsThatAreNotUTF8AreReadBack(t *testing.T) {
	const odd = "\xff\xfe"
	cmd := &Command{Submit: &Submit{IdempotencyKey: odd, Spec: model.JobSpec{Name: "j", Labels: model.Labels{odd: odd}}}}
	data, err := cmd.Encode()
	assert.NilError(t, err)
	back, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, cmd)
}

// Guards against a snapshot of more finished jobs than its reader admits: the replica exits after each restart.
func TestSnapshotOfMillionsOfFinishedJobsIsReadBack(t *testing.T) {
	const finished = 1<<22 + 1
	m := New(Options{})
	m.finishedJobs = make([]model.JobID, finished)
	var buf bytes.Buffer
	assert.NilError(t, m.WriteSnapshot(&buf))
	back, err := ReadSnapshot(Options{}, &buf)
	assert.NilError(t, err)
	assert.Equal(t, len(back.finishedJobs), finished)
}
