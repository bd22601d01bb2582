// Package declare checks, normalizes, digests and compares the declarations of
// a cell, and reads them from a folder of JSON files. Everything but LoadDir
// and NewKey is a pure function of its arguments.
package declare

import "github.com/filbertmast/filbertmast/internal/strict"

// Problems lists the rules that a set of declarations breaks.
type Problems = strict.Problems
