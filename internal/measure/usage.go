package measure

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// usage holds the values of the metrics of one process at one moment, or their
// difference between two moments.
type usage struct {
	cpu           float64 // seconds
	resident      float64 // bytes
	loadSent      float64 // bytes of messages to the load
	loadReceived  float64 // bytes of messages from the load
	loadPackets   float64 // bytes of packets to and from the load
	peersSent     float64 // bytes of messages to other processes
	peersReceived float64 // bytes of messages from other processes
	peersPackets  float64 // bytes of packets to and from other processes
	plans         float64
	planSeconds   float64
	appends       float64 // batches written to the log and synced
}

// since returns the difference of the counters from o. The resident memory is
// kept as it is.
func (u usage) since(o usage) usage {
	u.cpu -= o.cpu
	u.loadSent -= o.loadSent
	u.loadReceived -= o.loadReceived
	u.loadPackets -= o.loadPackets
	u.peersSent -= o.peersSent
	u.peersReceived -= o.peersReceived
	u.peersPackets -= o.peersPackets
	u.plans -= o.plans
	u.planSeconds -= o.planSeconds
	u.appends -= o.appends
	return u
}

// usageOf reads the metrics of a process over HTTP.
func usageOf(ctx context.Context, p Process) (usage, error) {
	var u usage
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Outer+"/metrics", nil)
	if err != nil {
		return u, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return u, fmt.Errorf("metrics of %s: status %d", p.Name, resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		u.addLine(lines.Text())
	}
	return u, lines.Err()
}

// addLine adds the value of one line of the Prometheus text format. It ignores
// comments and other metrics.
func (u *usage) addLine(line string) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 || strings.HasPrefix(line, "#") {
		return
	}
	value, err := strconv.ParseFloat(line[at+1:], 64)
	if err != nil {
		return
	}
	series := line[:at]
	name, _, _ := strings.Cut(series, "{")
	switch name {
	case "process_cpu_seconds_total":
		u.cpu += value
	case "process_resident_memory_bytes":
		u.resident += value
	case "filbertmast_control_plan_seconds_count":
		u.plans += value
	case "filbertmast_control_plan_seconds_sum":
		u.planSeconds += value
	case "filbertmast_replica_append_seconds_count":
		u.appends += value
	case "filbertmast_wire_bytes_total":
		u.addBytes(series, value)
	case "filbertmast_wire_packet_bytes_total":
		if strings.Contains(series, `peer_region="`+loadRegion+`"`) {
			u.loadPackets += value
			return
		}
		u.peersPackets += value
	}
}

func (u *usage) addBytes(series string, value float64) {
	load := strings.Contains(series, `peer_region="`+loadRegion+`"`)
	sent := strings.Contains(series, `direction="sent"`)
	switch {
	case load && sent:
		u.loadSent += value
	case load:
		u.loadReceived += value
	case sent:
		u.peersSent += value
	default:
		u.peersReceived += value
	}
}
