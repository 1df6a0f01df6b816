package http

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// RoundTripTime returns the round-trip time of a TCP connection as measured by
// the kernel, and whether it is known.
func RoundTripTime(conn net.Conn) (time.Duration, bool) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(socket uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(socket), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || optionErr != nil {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, info.Rtt > 0
}
