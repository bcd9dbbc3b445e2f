package connend

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClose is TCP_CLOSE of Linux. A socket that has read an orderly end of its peer is in CLOSE_WAIT instead.
const stateClose = 7

// hasNoPeer reports whether a socket that has not been closed here has no connection any more.
func hasNoPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == stateClose
	})
	return err == nil && closed
}
