package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	decideTime  = 20 * time.Millisecond
	ticketValid = 2 * time.Second
)

// serveAdvice serves a policy service that allows every executor.
func (c *cell) serveAdvice() error {
	c.advice = fmt.Sprintf("%s.201:%d", c.net, c.port["advice"])
	l, err := net.Listen("tcp", c.advice)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(advise)}
	go func() { _ = server.Serve(l) }()
	return nil
}

func advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decideTime)
	good := [][]string{}
	for _, id := range q.Workers {
		good = append(good, []string{id, newTicket(q.Step, id)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": ticketValid.Milliseconds()})
}

// newTicket returns a ticket for the tasks of a step on an executor, with its end.
func newTicket(step, executor string) string {
	return fmt.Sprintf("%s/%s/%d", step, executor, time.Now().Add(ticketValid).UnixMilli())
}

// validTicket reports whether a ticket allows a task to start on an executor now.
func validTicket(ticket, task, executor string) bool {
	parts := strings.Split(ticket, "/")
	if len(parts) != 3 {
		return false
	}
	until, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && strings.HasPrefix(task, parts[0]+".") && parts[1] == executor && time.Now().UnixMilli() <= until
}
