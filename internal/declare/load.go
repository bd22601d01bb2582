package declare

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// maxFileBytes is the largest size of one declarations file.
const maxFileBytes = 16 << 20

// LoadDir reads every *.json file in dir and its subfolders in lexical order,
// merges them, and validates and normalizes the result. Each file contains any of
// the lists of model.Declarations. Hidden files and folders are skipped. All
// problems are returned, each with its file.
func LoadDir(dir string) (model.Declarations, Problems) {
	m := merger{origins: make(map[string][]origin)}
	m.readDir(dir)
	return m.finish()
}

// Parse reads one set of declarations from data, and validates and normalizes it.
func Parse(file string, data []byte) (model.Declarations, Problems) {
	m := merger{origins: make(map[string][]origin)}
	m.add(file, data)
	return m.finish()
}

// merger merges the files of a folder and records the origin of each item.
type merger struct {
	set      model.Declarations
	origins  map[string][]origin // of each list, in the order of its merged items
	problems Problems
}

func (m *merger) finish() (model.Declarations, Problems) {
	problems := append(m.problems, validate(&m.set, m.originOf, m.problems)...)
	if len(problems) == 0 {
		Normalize(&m.set)
	}
	return m.set, problems
}

func (m *merger) readDir(dir string) {
	found := 0
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case path != dir && strings.HasPrefix(entry.Name(), ".") && entry.IsDir():
			return filepath.SkipDir
		case entry.IsDir(), strings.HasPrefix(entry.Name(), "."), filepath.Ext(path) != ".json":
			return nil
		}
		found++
		m.readFile(path)
		return nil
	})
	switch {
	case err != nil:
		m.problems.Add(dir, "$", nil, "the folder cannot be read: %v", err)
	case found == 0:
		m.problems.Add(dir, "$", nil, "the folder holds no *.json file")
	}
}

func (m *merger) readFile(path string) {
	info, err := os.Stat(path)
	if err != nil {
		m.problems.Add(path, "$", nil, "the file cannot be read: %v", err)
		return
	}
	if info.Size() > maxFileBytes {
		m.problems.Add(path, "$", info.Size(), "a file may have at most %d bytes", maxFileBytes)
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		m.problems.Add(path, "$", nil, "the file cannot be read: %v", err)
		return
	}
	m.add(path, data)
}

// document is the content of one file. Keys are marked as secret so that problems
// do not show a key that was written in place of its digest.
type document struct {
	Teams    []model.Team       `json:"teams"`
	Keys     []model.Key        `json:"keys" secret:"true"`
	Queues   []model.Queue      `json:"queues"`
	Prices   []model.PricePoint `json:"prices"`
	Services []model.Service    `json:"services"`
}

func (m *merger) add(file string, data []byte) {
	var doc document
	m.problems = append(m.problems, strict.Decode(file, data, &doc)...)
	m.recordOrigins(file, listTeams, len(doc.Teams))
	m.recordOrigins(file, listKeys, len(doc.Keys))
	m.recordOrigins(file, listQueues, len(doc.Queues))
	m.recordOrigins(file, listPrices, len(doc.Prices))
	m.recordOrigins(file, listServices, len(doc.Services))
	m.set.Teams = append(m.set.Teams, doc.Teams...)
	m.set.Keys = append(m.set.Keys, doc.Keys...)
	m.set.Queues = append(m.set.Queues, doc.Queues...)
	m.set.Prices = append(m.set.Prices, doc.Prices...)
	m.set.Services = append(m.set.Services, doc.Services...)
}

func (m *merger) recordOrigins(file, list string, n int) {
	for i := range n {
		m.origins[list] = append(m.origins[list], origin{file, strict.Index("$."+list, i)})
	}
}

func (m *merger) originOf(list string, i int) origin { return m.origins[list][i] }
