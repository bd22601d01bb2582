package api

// HeaderError is set, to the error's kind, on every error answer that the
// system itself makes. An error status without it was passed through from an
// executor, or comes from something in between.
const HeaderError = "Filbertmast-Error"

// JobList is the answer to GET /v1/jobs?selector=&limit=&after=, in the order of job IDs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	Next string    `json:"next,omitempty"` // job ID for after= to read on; empty at the end
}

// WorkerList is the answer to GET /v1/workers?selector=.
type WorkerList struct {
	Workers []WorkerView `json:"workers"`
}

// Cancelled is the answer to DELETE /v1/jobs?selector=.
type Cancelled struct {
	Jobs int64 `json:"jobs"` // jobs that were told to stop
}
