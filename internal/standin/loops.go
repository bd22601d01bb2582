package standin

import (
	"context"
	"fmt"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// pollLoop polls for commands until the session ends.
func (w *worker) pollLoop(ctx context.Context, _ context.CancelFunc) {
	for attempt := 0; ctx.Err() == nil; {
		err := w.pollCommands(ctx)
		if err == nil {
			attempt = 0
			continue
		}
		w.log.Debug("Poll for commands failed; retrying.", "err", err)
		if pause(ctx, backoff(attempt, nil)) != nil {
			return
		}
		attempt++
	}
}

func (w *worker) pollCommands(ctx context.Context) error {
	session, _, ok := w.currentLease()
	if !ok {
		return errkind.New(errkind.StaleLease, "the lease has ended")
	}
	path := w.path(fmt.Sprintf("commands?session=%d&wait=%s", session, commandPollTimeout))
	var a api.Commands
	if err := w.client.call(ctx, commandPollTimeout+callTimeout, http.MethodGet, path, nil, &a); err != nil {
		return err
	}
	newCount := w.tasks.applyCommands(a.Commands)
	if newCount == 0 && len(a.Commands) > 0 {
		// All commands are repeated. The entry repeats them until it receives the reports.
		return pause(ctx, retryPause)
	}
	return nil
}

// reportLoop sends the pending reports and retries until they are acknowledged.
func (w *worker) reportLoop(ctx context.Context, _ context.CancelFunc) {
	for attempt := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-w.tasks.reportsReady:
		}
		if err := w.sendReports(ctx); err != nil {
			w.log.Debug("Sending reports failed; retrying.", "err", err)
			if pause(ctx, backoff(attempt, nil)) != nil {
				return
			}
			attempt++
			w.tasks.signalReports()
			continue
		}
		attempt = 0
	}
}

func (w *worker) sendReports(ctx context.Context) error {
	pending := w.tasks.pendingReports()
	if len(pending) == 0 || w.options.Behavior == BehaveNeverAnswer {
		return nil
	}
	session, _, _ := w.currentLease()
	body := api.Reports{Session: session, Reports: pending}
	if err := w.client.call(ctx, callTimeout, http.MethodPost, w.path("reports"), &body, nil); err != nil {
		return err
	}
	w.tasks.removeAcknowledged(pending)
	return nil
}
