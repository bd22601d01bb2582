package settings

import (
	"os"
	"path/filepath"
)

// fileSetting is a setting that contains a file or folder name.
type fileSetting struct {
	path string // JSON path
	name *string
	dir  bool
}

// fileSettings returns all settings that contain a file or folder name, including empty
// ones.
func (s *Settings) fileSettings() []fileSetting {
	return []fileSetting{
		{"$.inner.certificate", &s.Inner.Certificate, false},
		{"$.inner.key", &s.Inner.Key, false},
		{"$.inner.ca", &s.Inner.CA, false},
		{"$.outer.certificate", &s.Outer.Certificate, false},
		{"$.outer.key", &s.Outer.Key, false},
		{"$.data.dir", &s.Data.Dir, true},
	}
}

// CheckFiles reports the files in the settings that are missing or unreadable. The
// data folder may be missing if its parent exists.
func (s *Settings) CheckFiles(file string) Problems {
	var problems Problems
	for _, p := range s.fileSettings() {
		if *p.name == "" || (p.dir && !s.Has(RoleControl)) {
			continue
		}
		if rule := fileProblem(*p.name, p.dir); rule != "" {
			problems.Add(file, p.path, *p.name, "%s", rule)
		}
	}
	return problems
}

func fileProblem(name string, dir bool) string {
	if dir {
		return dirProblem(name)
	}
	info, err := os.Stat(name)
	switch {
	case os.IsNotExist(err):
		return "the file does not exist"
	case err != nil:
		return "the file cannot be read: " + err.Error()
	case !info.Mode().IsRegular():
		return "must be a regular file"
	}
	f, err := os.Open(name)
	if err != nil {
		return "the file cannot be read: " + err.Error()
	}
	_ = f.Close()
	return ""
}

func dirProblem(name string) string {
	info, err := os.Stat(name)
	if err == nil && !info.IsDir() {
		return "must be a folder"
	}
	if err == nil {
		return ""
	}
	if !os.IsNotExist(err) {
		return "the folder cannot be read: " + err.Error()
	}
	if parent, err := os.Stat(filepath.Dir(name)); err != nil || !parent.IsDir() {
		return "neither the folder nor its parent exists"
	}
	return ""
}
