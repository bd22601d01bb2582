package bodylimit

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// BenchmarkOrdinaryBody measures what the limits cost for a body of 500 bytes, beside io.ReadAll.
func BenchmarkOrdinaryBody(b *testing.B) {
	text := bytes.Repeat([]byte{'x'}, 500)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.ContentLength = int64(len(text))
	w := httptest.NewRecorder()
	b.Run("limited", func(b *testing.B) {
		l := New(Options{Budgets: map[Class]int64{Callers: 1 << 20}, MinRate: 4096, Grace: 5e9, Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
		b.ReportAllocs()
		for b.Loop() {
			r.Body = io.NopCloser(bytes.NewReader(text))
			body, err := l.Open(Callers, w, r, 1<<18)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := body.ReadAll(); err != nil {
				b.Fatal(err)
			}
			body.Release()
		}
	})
	b.Run("io.ReadAll", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Body = io.NopCloser(bytes.NewReader(text))
			if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<18)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
