package sockets

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// scanned returns the error of a scanner that gets data in pieces of the given size.
func scanned(data string, size int) error {
	var s headScanner
	for len(data) > 0 {
		n := min(size, len(data))
		if err := s.scan([]byte(data[:n])); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// TestMalformedHeadsAreFoundInPieces checks that malformed heads are found and well-formed ones are
// not, however the bytes arrive.
func TestMalformedHeadsAreFoundInPieces(t *testing.T) {
	for name, text := range rawtcp.MalformedAnswers {
		for size := 1; size <= len(text); size++ {
			if err := scanned(text, size); !errors.Is(err, ErrMalformedAnswer) {
				t.Errorf("%s, in pieces of %d: %v", name, size, err)
			}
		}
	}
	for name, text := range rawtcp.WellFormedAnswers {
		for size := 1; size <= len(text); size++ {
			if err := scanned(text, size); err != nil {
				t.Errorf("%s, in pieces of %d: %v", name, size, err)
			}
		}
	}
}

// TestMalformedHeadsFailTheRequest guards against a malformed answer being returned by a transport,
// and against a well-formed one being refused.
func TestMalformedHeadsFailTheRequest(t *testing.T) {
	get := func(text string) (string, error) {
		client := http.Client{Transport: NewTransport(NewDialer(Upstream).DialContext)}
		res, err := client.Get("http://" + rawtcp.EarlyAnswer{Text: text, Whole: true}.Serve(t))
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return string(body), err
	}
	for name, text := range rawtcp.MalformedAnswers {
		if body, err := get(text); !errors.Is(err, ErrMalformedAnswer) {
			t.Errorf("%s: got %q, %v", name, body, err)
		}
	}
	for name, text := range rawtcp.WellFormedAnswers {
		if body, err := get(text); err != nil || body != "ok" {
			t.Errorf("%s: got %q, %v", name, body, err)
		}
	}
}

// TestHeadsAreCheckedWithTLS checks that answers over TLS are checked as others are, and that the
// certificate is.
func TestHeadsAreCheckedWithTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, rawtcp.MalformedAnswers["blank before the colon"])
			conn.Close()
		}
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := http.Client{Transport: newTransport(NewDialer(Upstream).DialContext, &tls.Config{RootCAs: roots})}
	if res, err := client.Get(server.URL + "/sound"); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("sound answer: %v", err)
	} else {
		res.Body.Close()
	}
	if _, err := client.Get(server.URL + "/x"); !errors.Is(err, ErrMalformedAnswer) {
		t.Errorf("malformed answer: %v", err)
	}
	strangers := http.Client{Transport: NewTransport(NewDialer(Upstream).DialContext)}
	var unknown *tls.CertificateVerificationError
	if _, err := strangers.Get(server.URL + "/sound"); !errors.As(err, &unknown) {
		t.Errorf("certificate of an unknown authority: %v", err)
	}
}

// readAnswer returns the answer that net/http reads; nil if it reads none.
func readAnswer(text string) *http.Response {
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil || res.StatusCode/100 == 1 {
		return nil
	}
	res.Body.Close()
	return res
}

// FuzzHeads checks that the result doesn't depend on how the bytes arrive, and that what is accepted
// has a valid status and, as net/http reads it, no field with a blank in its name.
func FuzzHeads(f *testing.F) {
	for _, text := range rawtcp.MalformedAnswers {
		f.Add(text, 3)
	}
	for _, text := range rawtcp.WellFormedAnswers {
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole := scanned(text, len(text)+1)
		if pieces := scanned(text, max(size%64, 1)); (whole == nil) != (pieces == nil) {
			t.Fatalf("whole: %v, in pieces: %v", whole, pieces)
		}
		if whole != nil {
			return
		}
		res := readAnswer(text)
		if res == nil {
			return
		}
		if res.StatusCode < 100 || res.StatusCode > 599 || res.StatusCode == 101 {
			t.Errorf("status %d accepted", res.StatusCode)
		}
		for name := range res.Header {
			for i := range len(name) {
				if !isTokenByte(name[i]) {
					t.Errorf("field %q accepted", name)
				}
			}
		}
	})
}
