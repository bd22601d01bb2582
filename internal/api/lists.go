package api

// HeaderError is set, to the error's kind, on every error answer that the
// system itself makes. An error status without it was passed through from an
// executor, or comes from something in between.
const HeaderError = "Filbertmast-Error"

// Cancelled is the answer to DELETE /v1/jobs/{id} and DELETE /v1/jobs?selector=.
type Cancelled struct {
	Count int `json:"count"` // jobs that were told to stop
}
