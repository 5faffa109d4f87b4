package rawtcp

// MalformedAnswers are answers of an upstream in trouble that are no answers in HTTP/1.1, by what is wrong
// with them.
var MalformedAnswers = map[string]string{
	"status 000":                    "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok",
	"status 099":                    "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":            "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                    "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                    "HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok",
	"switch of protocols":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok",
	"status 000 after another":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok",
	"other version":                 "HTTP/3.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon":        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokok",
	"blank in a name":               "HTTP/1.1 200 OK\r\nContent Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":           "HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 2\r\n\r\nokok",
	"tab before a name":             "HTTP/1.1 200 OK\r\nX-First: 1\r\n\tContent-Length: 2\r\n\r\nokok",
	"blank before the first name":   "HTTP/1.1 200 OK\r\n X-First: 1\r\nContent-Length: 2\r\n\r\nok",
	"tab in a name":                 "HTTP/1.1 200 OK\r\nX\tFirst: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX-\x01First: 1\r\nContent-Length: 2\r\n\r\nok",
	"null byte in a name":           "HTTP/1.1 200 OK\r\nX-First\x00: 1\r\nContent-Length: 2\r\n\r\nok",
	"delete byte in a name":         "HTTP/1.1 200 OK\r\nX-First\x7f: 1\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in a name":     "HTTP/1.1 200 OK\r\nX\r-First: 1\r\nContent-Length: 2\r\n\r\nok",
	"no name":                       "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                      "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\nok",
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nX-First: 1\rX: 2\r\nContent-Length: 2\r\n\r\nok",
	"null byte in a value":          "HTTP/1.1 200 OK\r\nX-First: \x00\r\nContent-Length: 2\r\n\r\nok",
	"chunks with a blank in a name": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a later name":         "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// WellFormedAnswers are answers with the body "ok" that are unusual and allowed.
var WellFormedAnswers = map[string]string{
	"line feeds only":   "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"no reason":         "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"after an early":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"after a continue":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\nok",
	"empty value":       "HTTP/1.1 200 OK\r\nX:\r\nContent-Length:2\r\n\r\nok",
	"bytes over 127":    "HTTP/1.1 200 \xe4\r\nX: \xe4\t\r\nContent-Length: 2\r\n\r\nok",
	"unusual name":      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: 2\r\n\r\nok",
	"chunks":            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: 1\r\n\r\n",
	"head in the body":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\n : x",
	"no length":         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	"length and chunks": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
}
