package control

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
)

// controlHandler serves the messages of other nodes, with checks of the sender
// and limits on size and time.
func (n *Node) controlHandler() http.Handler {
	next := n.verified(bounded(controlpb.NewControlServer(rpc{n}, twirp.WithServerPathPrefix(n.config.pathPrefix()))))
	return contain.Handler(partName, n.config.Panicked, next)
}

// bounded limits the size of a request's body and the time it may take.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		_ = controller.SetReadDeadline(now().Add(bodyTimeout))
		request.Body = http.MaxBytesReader(writer, request.Body, maximumRequestBytes)
		next.ServeHTTP(writer, request)
	})
}

func (n *Node) newServer(ctx context.Context) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(n.config.TLS != nil)
	protocols.SetUnencryptedHTTP2(n.config.TLS == nil)
	return &http.Server{
		Handler:           n.controlHandler(),
		TLSConfig:         cloneTLS(n.config.TLS),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleConnectionTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          log.New(io.Discard, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:      maximumStreams,
			MaxDecoderHeaderTableSize: clientHeaderTable,
			MaxEncoderHeaderTableSize: clientHeaderTable,
			WriteByteTimeout:          bodyTimeout,
		},
	}
}

// serveControl serves the control listener until the context ends.
func (n *Node) serveControl(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := n.newServer(ctx)
	listener := n.traffic.Listener(&keepAliveListener{httpconn.Persist(n.config.Listener)})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		closeServer(server)
	}()
	var err error
	if n.config.TLS != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	cancel()
	<-closed
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// closeServer waits up to shutdownTimeout for answers in progress, and then
// closes the remaining connections.
func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// keepAliveListener enables TCP keepalive, so that the kernel detects dead clients.
type keepAliveListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *keepAliveListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     acceptKeepAliveIdle,
			Interval: keepAliveInterval,
			Count:    acceptKeepAliveCount,
		})
	}
	return connection, nil
}
