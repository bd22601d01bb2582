// Package bodylimit bounds the memory and the time that request bodies may take. Bodies of
// callers, of workers and of operators have separate budgets, so that callers cannot starve
// heartbeats and operators. The decisions (budget.go) use no network and no clock of their own.
package bodylimit
