// Package declare validates, normalizes, digests and compares the declarations
// of a cell, and reads them from a folder of JSON files. All functions except
// LoadDir and NewKey depend on their arguments only.
package declare

import "github.com/filbertmast/filbertmast/internal/strict"

// Problems lists the rules that a set of declarations breaks.
type Problems = strict.Problems
