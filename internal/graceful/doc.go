// Package graceful stops HTTP servers without cutting off a request that has reached them.
//
// http.Server.Shutdown does cut off requests: connections that the kernel has established and
// the process has not accepted are reset, requests that are read after its beginning are
// dropped without an answer, and a connection counts as idle until the header of its next
// request has been read. A Server accepts what is pending, answers all requests that arrive
// until none is left, and only then closes connections on which nothing has arrived.
package graceful
