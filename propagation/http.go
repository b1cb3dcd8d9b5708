package propagation

import (
	"net/http"
	"net/url"
	"strings"

	"umberladder/token"
)

// fromRequest returns the token texts of the header, the cookies and the baggage of a request. A truncated or overlong
// cookie is returned as it is and later counts as a lost token.
func fromRequest(r *http.Request) []string {
	values := append([]string(nil), r.Header.Values(Header)...)
	for _, c := range r.Cookies() {
		if c.Name == Cookie {
			values = append(values, c.Value)
		}
	}
	return append(values, fromBaggage(r.Header.Values("Baggage"))...)
}

// fromBaggage returns the token texts in W3C baggage: members separated by commas, each NAME=VALUE;PROPERTIES.
func fromBaggage(headers []string) (values []string) {
	for _, h := range headers {
		for _, member := range strings.Split(h, ",") {
			name, value, ok := strings.Cut(member, "=")
			if !ok || strings.TrimSpace(name) != BaggageKey {
				continue
			}
			value, _, _ = strings.Cut(value, ";")
			text, err := url.PathUnescape(strings.TrimSpace(value))
			if err != nil {
				text = token.Unknown
			}
			values = append(values, text)
		}
	}
	return values
}

// withBaggage returns the baggage with the token member set and all other members unchanged.
func withBaggage(headers []string, tokens string) string {
	var members []string
	for _, h := range headers {
		for _, member := range strings.Split(h, ",") {
			if name, _, _ := strings.Cut(member, "="); strings.TrimSpace(name) != BaggageKey && strings.TrimSpace(member) != "" {
				members = append(members, strings.TrimSpace(member))
			}
		}
	}
	return strings.Join(append(members, BaggageKey+"="+url.PathEscape(tokens)), ",")
}

// Handler returns a handler that gives next a request whose context has a Collector, and sets the collected tokens in
// the header of the response and, if cookie is true, in a cookie. Only tokens collected before the first Write or
// WriteHeader are sent. A response with tokens gets Cache-Control: private, as a shared cache would serve it without
// regard to tokens; package causalcache takes them into account.
func Handler(next http.Handler, cookie bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, c := NewContext(r.Context(), fromRequest(r)...)
		cw := &responseWriter{ResponseWriter: w, collector: c, cookie: cookie}
		next.ServeHTTP(cw, r.WithContext(ctx))
		cw.addTokens()
	})
}

// responseWriter adds the tokens to the header at the first Write or WriteHeader, when the handler has made its calls.
type responseWriter struct {
	http.ResponseWriter
	collector *Collector
	cookie    bool
	added     bool
}

func (w *responseWriter) addTokens() {
	if w.added {
		return
	}
	w.added = true
	tokens := w.collector.Tokens()
	if tokens.IsEmpty() {
		return
	}
	text := tokens.String()
	w.Header().Set(Header, text)
	if digest := w.collector.settledDigest(); digest != "" {
		w.Header().Set(SettledKey, digest)
	}
	w.Header().Add("Cache-Control", "private")
	if w.cookie {
		if len(text) > maxCookie {
			text = token.Unknown // a truncated token would count as lost as well; Unknown states it
		}
		http.SetCookie(w.ResponseWriter, &http.Cookie{Name: Cookie, Value: text, Path: "/", HttpOnly: true, SameSite: http.SameSiteLaxMode})
	}
}

func (w *responseWriter) WriteHeader(status int) {
	w.addTokens()
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(b []byte) (int, error) {
	w.addTokens()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Transport is an http.RoundTripper that sends the tokens of the request context's Collector in header and baggage, and
// adds those of the response to it.
type Transport struct {
	Base http.RoundTripper // sends the requests; nil means http.DefaultTransport
}

// RoundTrip implements http.RoundTripper. It does not change r, blocks as Base does and returns the errors of Base.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	c := FromContext(r.Context())
	tokens := c.Tokens()
	if !tokens.IsEmpty() {
		r = r.Clone(r.Context())
		r.Header.Set(Header, tokens.String())
		r.Header.Set("Baggage", withBaggage(r.Header.Values("Baggage"), tokens.String()))
	}
	res, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	c.AddAnswer(res.Header.Values(Header)...)
	c.replaceLost(tokens, res.Header.Values(SettledKey), res.Header.Values(Header)...)
	return res, nil
}
