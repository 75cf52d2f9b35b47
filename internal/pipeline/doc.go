// Package pipeline is an HTTP/1.1 server for callers that may send further
// requests on a connection before the first is answered. The server of net/http
// reads the next request only after it has answered the one before; this one
// passes up to a bounded number of requests of one connection to the handler
// concurrently, and sends their answers in the order of the requests.
//
// Requests are parsed by http.ReadRequest and handled by an http.Handler. What a
// handler can rely on:
//
//   - The context of a request is canceled as soon as the caller has closed its
//     connection, also while further requests wait behind it.
//   - After a request with a body, no other one is handled until the body has been
//     read or the request was answered.
//   - A handler that sets "Connection: close" ends the connection. Requests that
//     were passed to the handler before are still answered, and the last of them
//     carries the header; the others are never run.
//   - A handler that panics with http.ErrAbortHandler ends the connection at that
//     point: a truncated answer cannot look complete, and nothing follows it.
package pipeline
