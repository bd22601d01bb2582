package api

// HeaderError holds the kind of an error. It is set on every error response that
// the system itself creates. An error status without it comes from an executor
// or from an intermediary such as a proxy.
const HeaderError = "Filbertmast-Error"

// JobList is the response to GET /v1/jobs?selector=&limit=&after=, in the order of job IDs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
	Next string    `json:"next,omitempty"` // after= of the next page; empty on the last one
}

// WorkerList is the response to GET /v1/workers?selector=.
type WorkerList struct {
	Workers []WorkerView `json:"workers"`
}

// Cancelled is the response to DELETE /v1/jobs?selector=.
type Cancelled struct {
	Jobs int64 `json:"jobs"` // number of cancelled jobs
}
