package reply_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/gateway/reply"
)

func TestReply(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reply")
}

// Guards against announcements of another writer, whose address cannot be dialled.
var _ = DescribeTable("FullAddress", func(address, want string) {
	r := httptest.NewRequest(http.MethodPut, "/", http.NoBody)
	r.RemoteAddr = "10.0.0.7:50000"
	got, ok := reply.FullAddress(address, r)
	Expect(ok).To(Equal(want != ""))
	if ok {
		Expect(got).To(Equal(want))
	}
},
	Entry("keeps a full address", "10.0.0.9:80", "10.0.0.9:80"),
	Entry("completes a port", ":80", "10.0.0.7:80"),
	Entry("rejects a port out of range", "10.0.0.9:70000", ""),
	Entry("rejects a port out of range without a host", ":70000", ""),
	Entry("rejects port 0", ":0", ""),
	Entry("rejects a host that is none", "a b:80", ""),
	Entry("rejects an address without a port", "10.0.0.9", ""),
)
