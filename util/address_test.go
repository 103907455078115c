package util_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/util"
)

var _ = DescribeTable("IsHostPort", func(address string, want bool) {
	Expect(util.IsHostPort(address)).To(Equal(want))
},
	Entry("an IPv4 address", "10.0.0.9:8080", true),
	Entry("an IPv6 address", "[fd00::9]:8080", true),
	Entry("a host name", "minion-7.kgl-a:65535", true),
	Entry("no port", "10.0.0.9", false),
	Entry("an empty port", "10.0.0.9:", false),
	Entry("port 0", "10.0.0.9:0", false),
	Entry("a port out of range", "10.0.0.9:65536", false),
	Entry("a negative port", "10.0.0.9:-1", false),
	Entry("the name of a service", "10.0.0.9:http", false),
	Entry("no host", ":8080", false),
	Entry("a host with a space", "a b:8080", false),
	Entry("a path", "10.0.0.9:80/x", false),
)
