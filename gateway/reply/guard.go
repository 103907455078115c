package reply

import (
	"crypto/subtle"
	"net"
	"net/http"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/util"
)

// RequireToken wraps next and refuses requests without the bearer token. An empty
// token accepts all requests.
func RequireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := "Bearer " + token
		if token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			Fail(w, Failure{
				Status: http.StatusUnauthorized,
				Body: api.Error{
					Outcome: api.OutcomeNotRun,
					Reason:  "wrong-token",
					Detail:  "the bearer token is not valid for this call",
				},
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// FullAddress returns address, completed with the host that the request came from
// if it has no host. It returns false if the address cannot be dialled.
func FullAddress(address string, r *http.Request) (string, bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || !util.IsPort(port) {
		return "", false
	}
	if host != "" {
		return address, util.IsHostPort(address)
	}
	host, _, err = net.SplitHostPort(r.RemoteAddr)
	return net.JoinHostPort(host, port), err == nil
}
