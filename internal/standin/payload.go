package standin

import (
	"strconv"
	"strings"
	"time"
)

// payload contains the options that a stand-in reads from the payload of a task, or
// from a request body that begins with payloadPrefix: "run=2s fail=0.1 usage=0.8
// behave=slow slots=8 connections=60". Unknown options are ignored.
type payload struct {
	run         time.Duration
	fail        float64 // probability, 0 to 1
	usage       float64 // used fraction of the declared size
	behave      Behavior
	slots       int32
	connections int32
}

const payloadPrefix = "standin "

func parsePayload(s string, p payload) payload {
	for _, word := range strings.Fields(s) {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			continue
		}
		p.set(name, value)
	}
	return p
}

func (p *payload) set(name, value string) {
	switch name {
	case "run":
		if d, err := time.ParseDuration(value); err == nil {
			p.run = d
		}
	case "fail":
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			p.fail = f
		}
	case "usage":
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			p.usage = f
		}
	case "behave":
		p.behave = Behavior(value)
	case "slots":
		setCount(&p.slots, value)
	case "connections":
		setCount(&p.connections, value)
	}
}

func setCount(n *int32, value string) {
	if v, err := strconv.ParseInt(value, 10, 32); err == nil && v > 0 {
		*n = int32(v)
	}
}
