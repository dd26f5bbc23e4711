package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

// Path is the URL path of the WebSocket handler.
const Path = "/v1/peer"

const (
	handshakeTimeout = 2 * time.Second
	// sharedDialTime is how long calls wait for a connection that is being opened for another call. After that, the next call
	// opens a further one, because bytes of the first may have been lost.
	sharedDialTime = 500 * time.Millisecond
	// dialRoundTrips is the number of round trips until a connection is open: of TCP, of HTTP and of the handshake.
	dialRoundTrips = 3
)

// handler handles the calls of one kind and returns the answer. The argument from is the name of the calling peer.
type handler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// Transport manages the connections of this entry to its peers.
type Transport struct {
	name        string
	incarnation string
	// secret is the secret that all entries of the cell share.
	secret   []byte
	log      hclog.Logger
	handlers map[string]handler

	// observe is called with the kind of each call and the sizes of its bodies in bytes.
	observe func(kind string, sent, received int)

	// secure returns the TLS configuration for dialing. If it is nil, connections are not encrypted.
	secure func() (*tls.Config, error)

	mu sync.Mutex
	// links holds the connections that this entry has opened, by address.
	links map[string]*link
	// dials holds the last connection that is being opened to each address.
	dials   map[string]*pendingDial
	closed  bool
	serving sync.WaitGroup
	stop    context.Context
	cancel  context.CancelFunc
}

// New returns a node without connections. All handlers must be registered before the node serves or calls.
func New(name, incarnation string, secret []byte, log hclog.Logger) *Transport {
	stop, cancel := context.WithCancel(context.Background())
	return &Transport{
		name:        name,
		incarnation: incarnation,
		secret:      secret,
		log:         log.Named("peer"),
		handlers:    make(map[string]handler),
		observe:     func(string, int, int) {},
		links:       make(map[string]*link),
		dials:       make(map[string]*pendingDial),
		stop:        stop,
		cancel:      cancel,
	}
}

// ObserveCalls registers a function that is called with the kind of each call, sent or handled, and the sizes of its bodies
// in bytes. It must be called before the first call.
func (n *Transport) ObserveCalls(observe func(kind string, sent, received int)) {
	n.observe = observe
}

// Handle registers the handler for calls of a kind.
func Handle[In, Out any](n *Transport, kind string, fn func(ctx context.Context, from string, in In) (Out, error)) {
	n.handlers[kind] = func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fold.Invalid.Wrap(err, "decode %s", kind)
		}
		return fn(ctx, from, in)
	}
}

// Call sends a call to the peer at the address and waits for its answer. An error with the NotRun trait proves that the peer
// did not execute the call.
func Call[In, Out any](ctx context.Context, n *Transport, address, kind string, in In) (Out, error) {
	var out Out
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, fold.Invalid.Wrap(err, "encode %s", kind)
	}
	l, err := n.linkTo(ctx, address)
	if err != nil {
		return out, err
	}
	answer, err := l.call(ctx, kind, body)
	if err != nil {
		return out, err
	}
	if err := cbor.Unmarshal(answer, &out); err != nil {
		return out, fold.Unknown.Wrap(err, "decode the answer to %s", kind)
	}
	return out, nil
}

// ServeHTTP accepts a connection from a peer.
func (n *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !n.acquire() {
		http.Error(w, "entry is stopping", http.StatusServiceUnavailable)
		return
	}
	defer n.serving.Done()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Protocol}})
	if err != nil {
		return
	}
	conn.SetReadLimit(MaxFrame)
	if conn.Subprotocol() != Protocol {
		_ = conn.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return
	}
	from, err := n.acceptHello(conn)
	if err != nil {
		n.log.Warn("Rejected a peer because the handshake failed.", "error", err)
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return
	}
	l := newLink(n, conn, from)
	l.run()
}

// Close closes all connections and waits until the handlers of their calls have returned.
func (n *Transport) Close() error {
	n.mu.Lock()
	n.closed = true
	links := n.links
	n.links = make(map[string]*link)
	n.mu.Unlock()
	n.cancel()
	for _, l := range links {
		l.close()
	}
	n.serving.Wait()
	return nil
}

func (n *Transport) acquire() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.serving.Add(1)
	return true
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	began time.Time
	// done is closed when link and err are set.
	done chan struct{}
	link *link
	err  error
}

// linkTo returns the connection to an address. If there is none, it opens one, which calls at the same time share.
func (n *Transport) linkTo(ctx context.Context, address string) (*link, error) {
	n.mu.Lock()
	if l, ok := n.links[address]; ok && !l.isClosed() {
		n.mu.Unlock()
		return l, nil
	}
	if n.closed {
		n.mu.Unlock()
		return nil, fold.Refuse(fold.Unavailable, "use another entry", "this entry is stopping")
	}
	d := n.dials[address]
	if d == nil || time.Since(d.began) > sharedDialTime {
		d = &pendingDial{began: time.Now(), done: make(chan struct{})}
		n.dials[address] = d
		n.serving.Add(1)
		go func() {
			defer n.serving.Done()
			n.open(address, d)
		}()
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, fold.Unavailable.Wrap(ctx.Err(), "connect to peer %s", address)
	}
}

// open opens a connection, passes it to the calls that wait for it, and serves it until it is closed. The deadlines of these
// calls do not apply, because later calls use the connection too.
func (n *Transport) open(address string, d *pendingDial) {
	l, err := n.dial(n.stop, address)
	if err == nil {
		l.address = address
		l.recordDelay(time.Since(d.began) / dialRoundTrips)
	}
	n.mu.Lock()
	if n.dials[address] == d {
		delete(n.dials, address)
	}
	current, ok := n.links[address]
	used := err == nil && !n.closed
	switch {
	case ok && !current.isClosed():
		// A dial that began at another time has succeeded first.
		used = false
		d.link = current
	case used:
		n.links[address], d.link = l, l
	case err == nil:
		d.err = fold.Refuse(fold.Unavailable, "use another entry", "this entry is stopping")
	default:
		d.err = err
	}
	n.mu.Unlock()
	close(d.done)
	switch {
	case used:
		l.run()
	case l != nil:
		l.close()
	}
}

// forget makes new calls use a new connection instead of l.
func (n *Transport) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.address] == l {
		delete(n.links, l.address)
	}
}

// reinstate makes new calls use l again unless there is another connection to its peer, and reports whether they do.
func (n *Transport) reinstate(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current, ok := n.links[l.address]
	if l.address == "" || ok && !current.isClosed() {
		return false
	}
	n.links[l.address] = l
	l.mu.Lock()
	l.retired = false
	l.mu.Unlock()
	return true
}

func (n *Transport) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme, options, err := n.dialOptions()
	if err != nil {
		return nil, err
	}
	conn, resp, err := websocket.Dial(ctx, scheme+address+Path, options)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fold.Unavailable.Wrap(err, "connect to peer %s", address)
	}
	conn.SetReadLimit(MaxFrame)
	name, err := n.sendHello(ctx, conn)
	if err != nil {
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return nil, fold.Unavailable.Wrap(err, "handshake with peer %s", address)
	}
	return newLink(n, conn, name), nil
}

func (n *Transport) sendHello(ctx context.Context, conn *websocket.Conn) (string, error) {
	local := hello{Name: n.name, Incarnation: n.incarnation, Nonce: newNonce()}
	if err := writeMessage(ctx, conn, local); err != nil {
		return "", err
	}
	var remote hello
	if err := readMessage(ctx, conn, &remote); err != nil {
		return "", err
	}
	if err := checkProof(n.secret, sideServer, remote, local.Nonce, remote.Nonce); err != nil {
		return "", err
	}
	local.MAC = proof(n.secret, sideClient, local, local.Nonce, remote.Nonce)
	return remote.Name, writeMessage(ctx, conn, local)
}

func (n *Transport) acceptHello(conn *websocket.Conn) (string, error) {
	ctx, cancel := context.WithTimeout(n.stop, handshakeTimeout)
	defer cancel()
	var first hello
	if err := readMessage(ctx, conn, &first); err != nil {
		return "", err
	}
	local := hello{Name: n.name, Incarnation: n.incarnation, Nonce: newNonce()}
	local.MAC = proof(n.secret, sideServer, local, first.Nonce, local.Nonce)
	if err := writeMessage(ctx, conn, local); err != nil {
		return "", err
	}
	var second hello
	if err := readMessage(ctx, conn, &second); err != nil {
		return "", err
	}
	if second.Name != first.Name {
		return "", fold.Refuse(fold.Unauthorized, "check the peer", "peer changed its name during the handshake")
	}
	return second.Name, checkProof(n.secret, sideClient, second, first.Nonce, local.Nonce)
}

func writeMessage(ctx context.Context, conn *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fold.Invalid.Wrap(err, "encode frame")
	}
	return conn.Write(ctx, websocket.MessageBinary, b)
}

func readMessage(ctx context.Context, conn *websocket.Conn, v any) error {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
