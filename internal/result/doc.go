// Package result defines the numbered result codes that callers and operators
// see, and the error type that carries one.
//
// Each code says what is known about the execution of the request: whether
// it did not run, may have run, or ran. The table in docs/RESULT-CODES.md is
// checked against this package by a test.
package result
