package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// udpTable lists the UDP sockets over IPv4 of the process's network namespace.
const udpTable = "/proc/self/net/udp"

// Columns of udpTable, in fields separated by spaces.
const (
	udpLocalColumn = 1 // address and port in hexadecimal
	udpDropsColumn = 12
	udpColumns     = 13
)

// ReceiveDrops returns the number of packets that the kernel has dropped because the
// receive buffer of the endpoint's socket was full. It fails with Internal where the
// kernel does not tell.
func (e *Endpoint) ReceiveDrops() (uint64, error) {
	addr, ok := e.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return 0, errkind.New(errkind.Internal, "the endpoint's socket has no UDP address")
	}
	f, err := os.Open(udpTable)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "cannot read the table of UDP sockets")
	}
	defer f.Close()
	return parseReceiveDrops(f, addr)
}

// parseReceiveDrops returns the drops of the socket with address local from a udpTable.
func parseReceiveDrops(table io.Reader, local *net.UDPAddr) (uint64, error) {
	want := tableAddress(local)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < udpColumns || fields[udpLocalColumn] != want {
			continue
		}
		n, err := strconv.ParseUint(fields[udpDropsColumn], 10, 64)
		if err != nil {
			return 0, errkind.Wrap(errkind.Internal, err, "cannot read the table of UDP sockets")
		}
		return n, nil
	}
	if err := lines.Err(); err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "cannot read the table of UDP sockets")
	}
	return 0, errkind.New(errkind.Internal, "the table of UDP sockets does not list %s", local)
}

// tableAddress returns a in the form of udpTable: the bytes of the IPv4 address in the
// order of a little-endian host, and the port.
func tableAddress(a *net.UDPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
