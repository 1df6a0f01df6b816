package http

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// whose sent bytes are not acknowledged within relayUserTimeout.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(socket uintptr) {
		optionErr = unix.SetsockoptInt(int(socket), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(relayUserTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	return errors.Wrap(optionErr, "set user timeout")
}

// isOpenAndDrained reports whether a connection is open and its socket holds no
// unread bytes. It does not block.
func isOpenAndDrained(raw syscall.RawConn) bool {
	var count int
	var receiveErr error
	var buffer [1]byte
	err := raw.Read(func(socket uintptr) bool {
		count, _, receiveErr = unix.Recvfrom(int(socket), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && count <= 0 && (receiveErr == unix.EAGAIN || receiveErr == unix.EINTR)
}
