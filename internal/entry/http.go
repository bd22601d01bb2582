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

// callTimeout bounds a call to the leader on behalf of an HTTP caller.
const callTimeout = 10 * time.Second

// buildHTTP binds the routes of the interface.
func (s *Server) buildHTTP() {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.writeError
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

// requestID gives every exchange an ID that its answer and its logs carry.
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
		return errkind.New(errkind.Draining, "this entry does not take callers now")
	}
	if err := s.config.checkFresh(); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

// handler is a route that needs a key.
type handler func(c echo.Context, caller proto.Caller) error

// anyQuery admits every query parameter.
const anyQuery = "*"

// withCallerKey admits team keys and operator keys, and the query parameters named.
func (s *Server) withCallerKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Team != "" || k.Operator }, query)
}

// withWorkerKey admits worker keys, and the query parameters named.
func (s *Server) withWorkerKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Worker }, query)
}

// withOperatorKey admits operator keys, and the query parameters named.
func (s *Server) withOperatorKey(h handler, query ...string) echo.HandlerFunc {
	return s.withKey(h, func(k model.Key) bool { return k.Operator }, query)
}

// withKey checks the key against the configuration in force before anything else is done.
func (s *Server) withKey(h handler, allowed func(model.Key) bool, query []string) echo.HandlerFunc {
	return func(c echo.Context) error {
		k, err := s.authenticate(c.Request())
		if err != nil {
			return err
		}
		if !allowed(k) {
			return errkind.New(errkind.Forbidden, "the key does not have the right for this call")
		}
		if err := checkQuery(c, query); err != nil {
			return err
		}
		return h(c, proto.Caller{Team: k.Team, Operator: k.Operator, Key: k.Digest})
	}
}

// checkQuery refuses a query parameter that the route does not know: a misspelt
// one would otherwise change nothing, and a list or a cancel take in too much.
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
		return model.Key{}, errkind.New(errkind.KeyMissing, "no key: send Authorization: Bearer KEY")
	}
	return s.config.authenticate(declare.DigestKey(key))
}

// writeError writes the one form of every error.
func (s *Server) writeError(err error, c echo.Context) {
	err = withKind(err)
	body := errkind.BodyOf(err, requestIDOf(c))
	s.metrics.refused(body.Kind)
	if body.Kind == errkind.Internal {
		s.log.Error("Internal error.", "request", body.RequestID, "path", c.Path(), "err", err)
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
		s.log.Debug("Answer not written.", "request", body.RequestID, "err", err)
	}
}

// withKind gives the errors of net/http and echo their kinds.
func withKind(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
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
