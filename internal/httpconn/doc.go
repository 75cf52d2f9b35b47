// Package httpconn holds what all HTTP connections that a call passes over have in
// common, whichever call path uses them: connections that record whether anything
// of a request was written to the network, bodies that http.Transport cannot send
// twice by itself, and the hop-by-hop headers.
package httpconn
