package route

import (
	"bytes"
	"io"
	"net/http"
	"slices"

	"github.com/filbertmast/filbertmast/internal/api"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// resendHeaders are not forwarded, since with any of them http.Transport may send a
// request again by itself.
var resendHeaders = []string{api.HeaderIdempotencyKey, "X-Idempotency-Key"}

// internalHeaders are meant for this system and are not forwarded.
// HeaderRepeatable is not among them, since it tells the executor whether the
// request is repeatable. The executor gets the request ID instead of the
// idempotency key.
var internalHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Host",
	api.HeaderDeadline, api.HeaderPatience,
	api.HeaderRequestID, api.HeaderEpoch, api.HeaderRefused,
}

// forwardedHeaders returns the headers of a request to forward to the executor,
// sorted by name.
func forwardedHeaders(header http.Header) [][2]string {
	out := make([][2]string, 0, len(header))
	for name, values := range header {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(internalHeaders, name) || slices.Contains(resendHeaders, name) {
			continue
		}
		for _, v := range values {
			out = append(out, [2]string{name, v})
		}
	}
	slices.SortStableFunc(out, func(a, b [2]string) int { return compareStrings(a[0], b[0]) })
	return out
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// prependBody returns a body that begins with head, which was already read from
// rest.
func prependBody(head []byte, rest *completeBody) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), rest), rest}
}
