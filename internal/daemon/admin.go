package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
)

// Limits and fixed texts of the administration listener.
const (
	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 30 * time.Second
	adminIdleTimeout    = time.Minute
	adminHeaderBytes    = 16 << 10
	systemStatusTimeout = 5 * time.Second
	contentTypeJSON     = "application/json"
	contentTypeText     = "text/plain; charset=utf-8"
	headerContentType   = "Content-Type"
	statusIndentation   = "  "
	answerHealthy       = "ok"
	answerReady         = "ready"
	unreadyStatusCode   = http.StatusServiceUnavailable
	unreadyRetrySeconds = "1"
)

// Status is the response of /v1/status: the state of this node, and its view of
// the system.
type Status struct {
	Node            string `json:"node"`
	Region          string `json:"region"`
	Zone            string `json:"zone"`
	Service         string `json:"service"`
	ProgramVersion  string `json:"programVersion"`
	Incarnation     uint64 `json:"incarnation"`
	Ready           bool   `json:"ready"`
	Reason          string `json:"reason"`
	VersionInForce  uint64 `json:"versionInForce"`
	Digest          string `json:"digest"`
	Resources       int    `json:"resources"`
	Role            string `json:"role"`
	Parent          string `json:"parent"`
	Children        int    `json:"children"`
	CallsInFlight   int    `json:"callsInFlight"`
	Draining        bool   `json:"draining"`
	CallerAddress   string `json:"callerAddress"`
	CallAddress     string `json:"callAddress"`
	ControlAddress  string `json:"controlAddress"`
	MembersLive     int    `json:"membersLive"`
	MembersLeaving  int    `json:"membersLeaving"`
	MembersLost     int    `json:"membersLost"`
	ControlBytesIn  uint64 `json:"controlBytesIn"`
	ControlBytesOut uint64 `json:"controlBytesOut"`
	StoreRequests   uint64 `json:"storeRequests"`
	// System is the coordinator's view of the system, or this node's own view when
	// the coordinator cannot be reached.
	System json.RawMessage `json:"system"`
}

func (d *Daemon) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.registry.Handler())
	mux.HandleFunc("GET /healthz", d.serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /v1/status", d.serveStatus)
	return &http.Server{
		Handler:           mux,
		ReadTimeout:       adminReadTimeout,
		ReadHeaderTimeout: adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    adminHeaderBytes,
	}
}

func (d *Daemon) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeText(writer, http.StatusOK, answerHealthy)
}

func (d *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if ready, reason := d.node.Readiness(); !ready {
		writer.Header().Set("Retry-After", unreadyRetrySeconds)
		writeText(writer, unreadyStatusCode, reason)
		return
	}
	writeText(writer, http.StatusOK, answerReady)
}

func writeText(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set(headerContentType, contentTypeText)
	writer.WriteHeader(status)
	_, _ = fmt.Fprintln(writer, text)
}

func (d *Daemon) serveStatus(writer http.ResponseWriter, request *http.Request) {
	bounded, cancel := context.WithTimeout(request.Context(), systemStatusTimeout)
	defer cancel()
	status := d.ownStatus()
	system, err := protojson.Marshal(d.node.Status(bounded))
	if err != nil {
		http.Error(writer, "cannot encode the status of the system", http.StatusInternalServerError)
		return
	}
	status.System = system
	writer.Header().Set(headerContentType, contentTypeJSON)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", statusIndentation)
	_ = encoder.Encode(status)
}

func (d *Daemon) ownStatus() Status {
	ready, reason := d.node.Readiness()
	reading := d.reading()
	tree := d.node.Tree()
	calls := d.plane.Status()
	self := d.self()
	status := Status{
		Node: self.ID, Region: self.Region, Zone: self.Zone, Service: self.Service,
		ProgramVersion: Version, Incarnation: self.Incarnation,
		Ready: ready, Reason: reason,
		Role: tree.Role.String(), Parent: tree.Parent, Children: len(tree.Children),
		CallsInFlight: calls.CallerCalls + calls.PeerCalls, Draining: calls.Draining,
		CallerAddress: d.listeners.caller.address, CallAddress: self.CallAddress, ControlAddress: self.ControlAddress,
		MembersLive: reading.Members.Live, MembersLeaving: reading.Members.Leaving, MembersLost: reading.Members.Lost,
		StoreRequests: reading.Counters.StoreRequests,
	}
	for _, count := range reading.Counters.ByRole {
		status.ControlBytesIn += count.In
		status.ControlBytesOut += count.Out
	}
	if current := d.node.Current(); current != nil {
		status.VersionInForce = current.Version()
		status.Digest = current.Digest().String()
		status.Resources = current.Len()
	}
	return status
}
