package rawtcp

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// maxDescriptors bounds the descriptors among which a listener is looked for.
const maxDescriptors = 4096

// BreakListener makes the process's listener on an address fail.
func BreakListener(t testing.TB, address string) {
	t.Helper()
	want, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	for fd := range maxDescriptors {
		listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		if err != nil || listens == 0 {
			continue
		}
		name, err := unix.Getsockname(fd)
		if v4, ok := name.(*unix.SockaddrInet4); err == nil && ok && v4.Port == want.Port && want.IP.Equal(net.IP(v4.Addr[:])) {
			if err := unix.Shutdown(fd, unix.SHUT_RDWR); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("no listener on %s", address)
}
