package http

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel end a connection whose bytes are not
// acknowledged for relayUserTimeout.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(socket uintptr) {
		failure = unix.SetsockoptInt(int(socket), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(relayUserTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	return errors.Wrap(failure, "set user timeout")
}

// isQuiet reports whether a connection is open and has brought no bytes that
// were not read.
func isQuiet(raw syscall.RawConn) bool {
	var count int
	var failure error
	var buffer [1]byte
	err := raw.Read(func(socket uintptr) bool {
		count, _, failure = unix.Recvfrom(int(socket), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && count <= 0 && (failure == unix.EAGAIN || failure == unix.EINTR)
}
