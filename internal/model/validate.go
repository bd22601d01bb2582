package model

import (
	"errors"
	"fmt"
	"net/netip"
)

// Limits of a job.
const (
	MaxTasks        = 100_000
	MaxNameLength   = 128
	MaxPayloadBytes = 16 << 10
	MaxLabels       = 64
	MaxRestartLimit = 10_000
)

// Validate returns all violated rules of a job, joined into one error, or nil.
func (s *JobSpec) Validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.Name == "" || len(s.Name) > MaxNameLength {
		addError("name must have 1 to %d characters", MaxNameLength)
	}
	switch s.Policy {
	case PolicyBatch, PolicyGang, PolicyService:
	default:
		addError("policy %q is not batch, gang or service", s.Policy)
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		addError("tasks must be 1 to %d, got %d", MaxTasks, s.Tasks)
	}
	if !s.Size.InRange() || s.Size.IsZero() {
		addError("size must be above zero, and each part from 0 to %d, got %s", int64(MaxResource), s.Size)
	}
	if !s.RunTime.InRange() || !s.Patience.InRange() {
		addError("run_time and patience must be from 0 to %s", MaxDuration)
	}
	if s.MaxRestarts < 0 || s.MaxRestarts > MaxRestartLimit {
		addError("max_restarts must be 0 to %d, got %d", MaxRestartLimit, s.MaxRestarts)
	}
	if _, err := ParseSelector(s.Selector); err != nil {
		errs = append(errs, err)
	}
	if len(s.Payload) > MaxPayloadBytes {
		addError("payload must be at most %d bytes, got %d", MaxPayloadBytes, len(s.Payload))
	}
	if s.MaxPerWorker < 0 {
		addError("max_per_worker must be at least 0, got %d", s.MaxPerWorker)
	}
	if s.Lasting && s.Policy != PolicyGang {
		addError("lasting requires policy %q", PolicyGang)
	}
	if s.Service != "" && s.Policy != PolicyService {
		addError("service %q needs policy service", s.Service)
	}
	errs = append(errs, s.Labels.validate())
	return errors.Join(errs...)
}

// Validate returns all violated rules of a worker, joined into one error, or nil.
func (s *WorkerSpec) Validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.ID == "" || !isLabelText(string(s.ID)) {
		addError("id must have 1 to %d letters, digits, - _ . and /", MaxNameLength)
	}
	if !s.Capacity.InRange() {
		addError("each part of the capacity must be from 0 to %d, got %s", int64(MaxResource), s.Capacity)
	}
	if s.Region == "" || s.FailureDomain == "" {
		addError("region and failure_domain must be set")
	}
	if s.Address != "" {
		errs = append(errs, checkAddress(s.Address))
	}
	errs = append(errs, s.Labels.validate())
	for i := range s.Executors {
		errs = append(errs, s.Executors[i].Validate())
	}
	return errors.Join(errs...)
}

// checkAddress returns why no worker can be called at an address, or nil.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address must be IP:port: %w", err)
	}
	ip := a.Addr().Unmap()
	if a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return fmt.Errorf("address %s is not that of one host and port", a)
	}
	return nil
}

// Validate returns all violated rules of an executor, joined into one error, or nil.
func (e *ExecutorSpec) Validate() error {
	var errs []error
	if e.ID == "" || len(e.ID) > MaxNameLength || e.Service == "" || e.Address == "" {
		errs = append(errs, fmt.Errorf("an executor needs an id of 1 to %d characters, a service and an address", MaxNameLength))
	}
	if e.Slots < 1 || e.Connections < 1 {
		errs = append(errs, fmt.Errorf("executor %q needs at least one slot and one connection", e.ID))
	}
	return errors.Join(errs...)
}

func (l Labels) validate() error {
	if len(l) > MaxLabels {
		return fmt.Errorf("at most %d labels, got %d", MaxLabels, len(l))
	}
	for k, v := range l {
		if !isLabelText(k) || k == "" || !isLabelText(v) {
			return fmt.Errorf("label %.80q=%.80q has characters outside letters, digits, - _ . and /, or more than %d", k, v, MaxNameLength)
		}
	}
	return nil
}

func isLabelText(s string) bool {
	for i := range len(s) {
		if !isLabelByte(s[i]) {
			return false
		}
	}
	return len(s) <= MaxNameLength
}
