package lavcluster

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Ports below the range from which the kernel takes those of outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
	portStep  = 37
)

var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + os.Getpid()*portStep%(lastPort-firstPort)}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range lastPort - firstPort {
		nextPort.port++
		if nextPort.port >= lastPort {
			nextPort.port = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.port)
		listener, err := net.Listen("tcp", address) //nolint:noctx // closed at once
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port on the loopback; end other test runs")
}
