package lavport

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Ports are reserved in blocks of blockSize. All blocks lie below the kernel's range of ephemeral ports, so that no
// outgoing connection occupies a reserved port.
const (
	firstPort  = 12000
	blockSize  = 1000
	blockCount = 19
)

// portBlock is the block of this process. The listener on its first port stays open, so that no other process takes the
// block.
var portBlock struct {
	sync.Mutex
	listener net.Listener
	number   int
	nextPort int
}

// FreeAddress returns a loopback address on which nothing listens at the time of the call.
func FreeAddress() (string, error) {
	portBlock.Lock()
	defer portBlock.Unlock()
	if err := reserveBlock(); err != nil {
		return "", err
	}
	for range blockSize {
		portBlock.nextPort = portBlock.nextPort%(blockSize-1) + 1
		address := loopbackAddress(portBlock.number*blockSize + portBlock.nextPort)
		listener, err := net.Listen("tcp", address) //nolint:noctx // closed immediately
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port in the block of this test run; end the processes that earlier runs left behind")
}

// reserveBlock reserves the first free block, starting at one derived from the process ID.
func reserveBlock() error {
	if portBlock.listener != nil {
		return nil
	}
	for i := range blockCount {
		number := (os.Getpid() + i) % blockCount
		listener, err := net.Listen("tcp", loopbackAddress(number*blockSize)) //nolint:noctx // open until the process ends
		if err == nil {
			portBlock.listener = listener
			portBlock.number = number
			return nil
		}
	}
	return errors.New("no free block of ports on the loopback interface; end other test runs")
}

// loopbackAddress returns the loopback address whose port is the given offset above firstPort.
func loopbackAddress(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
}
