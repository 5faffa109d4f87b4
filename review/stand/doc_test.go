// Package stand holds the stand-ins and the drivers of the review's cases: a metadata store,
// upstreams of a plain service, clients, and the processes of the system itself.
//
// It is a module of its own, so that the repository's default build, lint and tests leave it
// out, and it consists of test files because it speaks the platform's wire format. It is built
// by review/build.sh with "go test -c" and run by review/N/run.sh.
package stand
