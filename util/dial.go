package util

import (
	"context"
	"net"
	"time"
)

// DialFrom returns a dial function that binds to the given local IP address, or
// to any if it is empty, and fails after a timeout.
func DialFrom(source string, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: timeout,
	}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{
			IP: ip,
		}
	}
	return dialer.DialContext
}

// RequireIP records a problem unless value is an IP address or empty.
func (s *Settings) RequireIP(name, value string) {
	s.Require(value == "" || net.ParseIP(value) != nil, "%s: %q is not an IP address", name, value)
}
