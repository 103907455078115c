package reply

import (
	"crypto/subtle"
	"net"
	"net/http"

	"github.com/plantainladder/plantainladder/api"
)

// RequireToken lets only those with the bearer token through; an empty token lets
// everyone through.
func RequireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := "Bearer " + token
		if token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			Fail(w, Failure{
				Status: http.StatusUnauthorized,
				Body: api.Error{
					Outcome: api.OutcomeNotRun,
					Reason:  "wrong-token",
					Detail:  "the token is not the right one for this call",
				},
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// FullAddress returns an address with its host; an address without one gets
// the host that the request came from. It reports whether there is a port.
func FullAddress(address string, r *http.Request) (string, bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return "", false
	}
	if host != "" {
		return address, true
	}
	host, _, err = net.SplitHostPort(r.RemoteAddr)
	return net.JoinHostPort(host, port), err == nil
}
