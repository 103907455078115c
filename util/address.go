package util

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"
)

var hostName = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_.-]{0,252})$`)

// IsHostPort reports whether address is an IP address or host name and a port that
// can be dialled.
func IsHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || !IsPort(port) {
		return false
	}
	if _, err = netip.ParseAddr(host); err == nil {
		return true
	}
	return hostName.MatchString(host)
}

// IsPort reports whether port is a number from 1 to 65535.
func IsPort(port string) bool {
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
