package main

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// deploy starts nodes beside workers of the given services, and waits until all serve.
func deploy(routes []route, services ...string) (*mesh, []*worker) {
	m := newMesh(services...)
	m.configure(routes, slices.Compact(slices.Sorted(slices.Values(services)))...)
	m.startAll()
	var ws []*worker
	for i, n := range m.nodes {
		w := newWorker(n.service, fmt.Sprintf("i-%04d", i+1), n.at(portWorker), n.at(portAdmin))
		if err := w.start(); err != nil {
			fail("%v", err)
		}
		ws = append(ws, w)
	}
	time.Sleep(time.Second)
	return m, ws
}

// freeNetwork returns the first three numbers of loopback addresses on which all ports are free.
func freeNetwork(nodes, from int) string {
	for i := range 200 {
		network := fmt.Sprintf("127.88.%d", (from+i)%200+20)
		if networkIsFree(network, nodes) {
			return network
		}
	}
	fail("no loopback addresses are free")
	return ""
}

func networkIsFree(network string, nodes int) bool {
	for i := range nodes {
		for _, port := range []int{portInbound, portOutbound, portReadiness, portAdmin, portWorker, portControl} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
