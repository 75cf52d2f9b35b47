// Package httpleg holds what every leg of a call has in common, whichever call
// path uses it: connections that know whether anything of a request was handed
// to the network, bodies that http.Transport cannot send twice by itself, and
// the headers that belong to one connection only.
package httpleg
