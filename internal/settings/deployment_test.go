package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckDeployment(t *testing.T) {
	file := func(name, process, inner, outer string, founders ...string) File {
		s := Default()
		s.Name, s.Inner.Address, s.Outer.Address, s.Control.Founders = process, inner, outer, founders
		return File{name, s}
	}
	edited := func(f File, edit func(*Settings)) File {
		edit(f.Settings)
		return f
	}
	rows := []struct {
		name  string
		files []File
		want  string
	}{
		{"no files have no conflict", nil, ""},
		{"one file may list founders that are not checked", []File{file("a", "a", "1", "8", "2")}, ""},
		{"the order of founders does not matter", []File{file("a", "a", "1", "8", "1", "2"), file("b", "b", "2", "9", "2", "1")}, ""},
		{"two processes with the same name", []File{file("a", "x", "1", "8", "1"), file("b", "x", "2", "9", "1")},
			`b: $.name: got "x": duplicate of a: $.name`},
		{"two processes with the same address", []File{file("a", "a", "1", "8", "1"), file("b", "b", "1", "8", "1")},
			"b: $.inner.address: got \"1\": duplicate of a: $.inner.address\nb: $.outer.address: got \"8\": duplicate of a: $.outer.address"},
		{"different founders", []File{file("a", "a", "1", "8", "1"), file("b", "b", "2", "9", "2")},
			"b: $.control.founders: must list the same addresses as a"},
		{"different leases", []File{file("a", "a", "1", "8", "1"), edited(file("b", "b", "2", "9", "1"), func(s *Settings) { s.Limits.WorkerLease *= 2 })},
			"b: $.limits.worker_lease: got 30s: must be 15s as in a"},
		{"different bootstrap operator keys", []File{file("a", "a", "1", "8", "1"), edited(file("b", "b", "2", "9", "1"), func(s *Settings) { s.Bootstrap.OperatorKeyDigest = "fmk_secret" })},
			"b: $.bootstrap.operator_key_digest: must be the same as in a"},
		{"a founder without a settings file", []File{file("a", "a", "1", "8", "1", "3"), file("b", "b", "2", "9", "1", "3")},
			`a: $.control.founders[1]: got "3": is the inner.address of none of the files checked`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, CheckDeployment(row.files).Error(), row.want)
		})
	}
}
