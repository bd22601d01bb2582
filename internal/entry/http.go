package entry

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
)

// callTimeout is the timeout of a call to the leader on behalf of an HTTP client.
const callTimeout = 10 * time.Second

// buildHTTP registers the routes of the HTTP API.
func (s *Server) buildHTTP() {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.writeError
	e.JSONSerializer = limitedSerializer{bodies: s.bodies}
	e.Use(requestID)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.opts.Gatherer, promhttp.HandlerOpts{})))

	v1 := e.Group("/v1")
	v1.POST("/jobs", s.withCallerKey(s.submitJob, "dry_run"))
	v1.GET("/jobs", s.withCallerKey(s.listJobs, "selector", "limit", "after"))
	v1.DELETE("/jobs", s.withCallerKey(s.cancelJobs, "selector"))
	v1.GET("/jobs/:id", s.withCallerKey(s.getJob, "wait", "since", "why"))
	v1.DELETE("/jobs/:id", s.withCallerKey(s.cancelJob))
	v1.POST("/workflows", s.withCallerKey(s.postWorkflow))
	v1.GET("/workflows/:id", s.withCallerKey(s.workflowHandler(s.Workflow)))
	v1.DELETE("/workflows/:id", s.withCallerKey(s.workflowHandler(s.CancelWorkflow)))
	v1.POST("/services/:service/requests", s.withCallerKey(s.serveRequest, anyQuery))
	v1.POST("/services/:service/requests/*", s.withCallerKey(s.serveRequest, anyQuery))

	v1.POST("/workers", s.withWorkerKey(s.announceWorker))
	v1.POST("/workers/:id/heartbeat", s.withWorkerKey(s.workerHeartbeat))
	v1.GET("/workers/:id/commands", s.withWorkerKey(s.workerCommands, "session", "wait"))
	v1.POST("/workers/:id/reports", s.withWorkerKey(s.workerReports))

	v1.GET("/workers", s.withOperatorKey(s.listWorkers, "selector"))
	v1.POST("/workers/:id/cordon", s.withOperatorKey(s.setMode(model.WorkerCordoned)))
	v1.POST("/workers/:id/drain", s.withOperatorKey(s.setMode(model.WorkerDraining)))
	v1.POST("/workers/:id/open", s.withOperatorKey(s.setMode(model.WorkerOpen)))
	v1.PUT("/declarations", s.withOperatorKey(s.applyDeclarations))
	v1.GET("/declarations", s.withOperatorKey(s.getDeclarations))
	v1.POST("/keys", s.withOperatorKey(s.grantKey))
	v1.DELETE("/keys/:digest", s.withOperatorKey(s.withdrawKey))
	v1.GET("/status", s.withOperatorKey(s.getStatus))
	s.echo = e
}

// requestID sets the request ID of the response, which log lines repeat. It is the
// client's ID, or a new one if that is missing or too long.
func requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(api.HeaderRequestID)
		if id == "" || len(id) > model.MaxNameLength {
			id = uuid.NewString()
		}
		c.Response().Header().Set(api.HeaderRequestID, id)
		return next(c)
	}
}

func requestIDOf(c echo.Context) string { return c.Response().Header().Get(api.HeaderRequestID) }

func (s *Server) readyz(c echo.Context) error {
	if !s.ready.Load() {
		return errkind.New(errkind.Draining, "this entry process does not accept callers; try another one")
	}
	if err := s.config.checkFresh(); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

// handler handles a route that needs a key.
type handler func(c echo.Context, caller proto.Caller) error

// anyQuery in a list of query parameters allows all of them.
const anyQuery = "*"

// withCallerKey allows team keys and operator keys, and the named query parameters.
func (s *Server) withCallerKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Team != "" || k.Operator }, query)
}

// withWorkerKey allows worker keys and the named query parameters.
func (s *Server) withWorkerKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Worker }, query)
}

// withOperatorKey allows operator keys and the named query parameters.
func (s *Server) withOperatorKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Operator }, query)
}

// withKey checks the key against the current configuration, and the query
// parameters, before it calls h.
func (s *Server) withKey(h handler, allowed func(model.Key) bool, query []string) echo.HandlerFunc {
	return func(c echo.Context) error {
		k, err := s.authenticate(c.Request())
		if err != nil {
			return err
		}
		if !allowed(k) {
			return errkind.New(errkind.Forbidden, "the key does not have the right to make this call")
		}
		if err := checkQuery(c, query); err != nil {
			return err
		}
		return h(c, proto.Caller{Team: k.Team, Operator: k.Operator, Key: k.Digest})
	}
}

// checkQuery rejects unknown query parameters. If a misspelt one were ignored, it
// would have no effect, and a list or a cancellation would cover too much.
func checkQuery(c echo.Context, known []string) error {
	if slices.Contains(known, anyQuery) {
		return nil
	}
	for name := range c.QueryParams() {
		if !slices.Contains(known, name) {
			return errkind.New(errkind.BadRequest, "unknown query parameter %q", name)
		}
	}
	return nil
}

func (s *Server) authenticate(r *http.Request) (model.Key, error) {
	key, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return model.Key{}, errkind.New(errkind.KeyMissing, "the request has no key: send Authorization: Bearer KEY")
	}
	return s.config.authenticate(declare.DigestKey(key))
}

// writeError responds with the JSON body, the headers and the status of err.
func (s *Server) writeError(err error, c echo.Context) {
	err = withKind(err)
	body := errkind.BodyOf(err, requestIDOf(c))
	s.metrics.refused(body.Kind)
	if body.Kind == errkind.Internal {
		s.log.Error("Request failed with an internal error.", "request", body.RequestID, "path", c.Path(), "err", err)
	}
	if c.Response().Committed {
		return
	}
	c.Response().Header().Set(api.HeaderError, string(body.Kind))
	if body.RetryAfterMS > 0 {
		seconds := (body.RetryAfterMS + 999) / 1000
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if err := c.JSON(errkind.RowOf(body.Kind).Status, body); err != nil {
		s.log.Debug("The error response could not be written.", "request", body.RequestID, "err", err)
	}
}

// withKind converts errors of net/http and echo to errors with a kind.
func withKind(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		switch he.Code {
		case http.StatusNotFound, http.StatusMethodNotAllowed:
			return errkind.New(errkind.UnknownPath, "no such path or method")
		case http.StatusRequestEntityTooLarge:
			return errkind.New(errkind.BodyTooLarge, "the body is too large")
		}
		return errkind.New(errkind.BadRequest, "%v", he.Message)
	}
	return err
}
