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
	e.HTTPErrorHandler = s.answerError
	e.Use(requestID)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.opts.Gatherer, promhttp.HandlerOpts{})))

	v1 := e.Group("/v1")
	v1.POST("/jobs", s.caller(s.submitJob, "dry_run"))
	v1.GET("/jobs", s.caller(s.listJobs, "selector", "limit", "after"))
	v1.DELETE("/jobs", s.caller(s.cancelJobs, "selector"))
	v1.GET("/jobs/:id", s.caller(s.getJob, "wait", "since", "why"))
	v1.DELETE("/jobs/:id", s.caller(s.cancelJob))
	v1.POST("/workflows", s.caller(s.postWorkflow))
	v1.GET("/workflows/:id", s.caller(s.onWorkflow(s.Workflow)))
	v1.DELETE("/workflows/:id", s.caller(s.onWorkflow(s.CancelWorkflow)))
	v1.POST("/services/:service/requests", s.caller(s.serveRequest, anyQuery))
	v1.POST("/services/:service/requests/*", s.caller(s.serveRequest, anyQuery))

	v1.POST("/workers", s.worker(s.announceWorker))
	v1.POST("/workers/:id/heartbeat", s.worker(s.heartbeat))
	v1.GET("/workers/:id/commands", s.worker(s.workerCommands, "session", "wait"))
	v1.POST("/workers/:id/reports", s.worker(s.workerReports))

	v1.GET("/workers", s.operator(s.listWorkers, "selector"))
	v1.POST("/workers/:id/cordon", s.operator(s.setMode(model.WorkerCordoned)))
	v1.POST("/workers/:id/drain", s.operator(s.setMode(model.WorkerDraining)))
	v1.POST("/workers/:id/open", s.operator(s.setMode(model.WorkerOpen)))
	v1.PUT("/declarations", s.operator(s.applyDeclarations))
	v1.GET("/declarations", s.operator(s.getDeclarations))
	v1.POST("/keys", s.operator(s.grantKey))
	v1.DELETE("/keys/:digest", s.operator(s.withdrawKey))
	v1.GET("/status", s.operator(s.getStatus))
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

func idOf(c echo.Context) string { return c.Response().Header().Get(api.HeaderRequestID) }

func (s *Server) readyz(c echo.Context) error {
	if !s.ready.Load() {
		return errkind.New(errkind.Draining, "this entry does not take callers now")
	}
	if err := s.config.fresh(); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

// handler is a route that needs a key.
type handler func(c echo.Context, caller proto.Caller) error

// anyQuery admits every query parameter.
const anyQuery = "*"

// caller admits team keys and operator keys, and the query parameters named.
func (s *Server) caller(h handler, query ...string) echo.HandlerFunc {
	return s.keyed(h, func(k model.Key) bool { return k.Team != "" || k.Operator }, query)
}

// worker admits worker keys, and the query parameters named.
func (s *Server) worker(h handler, query ...string) echo.HandlerFunc {
	return s.keyed(h, func(k model.Key) bool { return k.Worker }, query)
}

// operator admits operator keys, and the query parameters named.
func (s *Server) operator(h handler, query ...string) echo.HandlerFunc {
	return s.keyed(h, func(k model.Key) bool { return k.Operator }, query)
}

// keyed checks the key against the configuration in force before anything else is done.
func (s *Server) keyed(h handler, allowed func(model.Key) bool, query []string) echo.HandlerFunc {
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

// answerError writes the one form of every error.
func (s *Server) answerError(err error, c echo.Context) {
	err = kindOfHTTP(err)
	body := errkind.BodyOf(err, idOf(c))
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

// kindOfHTTP gives the errors of net/http and echo their kinds.
func kindOfHTTP(err error) error {
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
