package carry

import (
	"net/http"
	"net/url"
	"strings"

	"umberladder/token"
)

// fromRequest is every token that came with an HTTP request, by any of the three ways. A cookie that a proxy
// cut, or one that is over-long, counts as a token that was lost.
func fromRequest(r *http.Request) []string {
	values := append([]string(nil), r.Header.Values(Header)...)
	for _, c := range r.Cookies() {
		if c.Name == Cookie {
			values = append(values, c.Value)
		}
	}
	return append(values, fromBaggage(r.Header.Values("Baggage"))...)
}

// fromBaggage picks the token out of W3C baggage: members separated by commas, each NAME=VALUE;PROPERTIES.
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

// withBaggage is the baggage of a request with the token's member set, the others as they are.
func withBaggage(headers []string, bag string) string {
	var members []string
	for _, h := range headers {
		for _, member := range strings.Split(h, ",") {
			if name, _, _ := strings.Cut(member, "="); strings.TrimSpace(name) != BaggageKey && strings.TrimSpace(member) != "" {
				members = append(members, strings.TrimSpace(member))
			}
		}
	}
	return strings.Join(append(members, BaggageKey+"="+url.PathEscape(bag)), ",")
}

// Handler collects while next serves a request and hands the union back in the answer's header and, if cookie
// is true, in a cookie. Answers that it marks must not be kept by shared caches; causalcache keeps them rightly.
func Handler(next http.Handler, cookie bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, c := NewContext(r.Context(), fromRequest(r)...)
		cw := &responseWriter{ResponseWriter: w, collector: c, cookie: cookie}
		next.ServeHTTP(cw, r.WithContext(ctx))
		cw.mark()
	})
}

// responseWriter adds the tokens when the header is about to go out: by then the work is done.
type responseWriter struct {
	http.ResponseWriter
	collector *Collector
	cookie    bool
	marked    bool
}

func (w *responseWriter) mark() {
	if w.marked {
		return
	}
	w.marked = true
	bag := w.collector.Bag()
	if bag.IsEmpty() {
		return
	}
	text := bag.String()
	w.Header().Set(Header, text)
	if digest := w.collector.settles(); digest != "" {
		w.Header().Set(Settled, digest)
	}
	w.Header().Add("Cache-Control", "private")
	if w.cookie {
		if len(text) > maxCookie {
			text = token.Unknown // cut by a browser it would say the same, but not as plainly
		}
		http.SetCookie(w.ResponseWriter, &http.Cookie{Name: Cookie, Value: text, Path: "/", HttpOnly: true, SameSite: http.SameSiteLaxMode})
	}
}

func (w *responseWriter) WriteHeader(status int) {
	w.mark()
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(b []byte) (int, error) {
	w.mark()
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Transport carries tokens with the requests of a client, in header and baggage, and collects those of answers.
type Transport struct {
	Base http.RoundTripper // http.DefaultTransport if nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	c := FromContext(r.Context())
	bag := c.Bag()
	if !bag.IsEmpty() {
		r = r.Clone(r.Context())
		r.Header.Set(Header, bag.String())
		r.Header.Set("Baggage", withBaggage(r.Header.Values("Baggage"), bag.String()))
	}
	res, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	c.Answered(res.Header.Values(Header)...)
	c.settled(bag, res.Header.Values(Settled), res.Header.Values(Header)...)
	return res, nil
}
