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

const handshakeTime = 2 * time.Second

// handler answers one kind of call.
type handler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// Node is this entry's side of all connections to peers.
type Node struct {
	name        string
	incarnation string
	cellKey     []byte
	log         hclog.Logger
	handlers    map[string]handler

	// seen takes what a call of a kind has carried, in bytes.
	seen func(kind string, sent, received int)

	// secure returns the TLS configuration for dialing, or nil for connections in the clear.
	secure func() (*tls.Config, error)

	mu      sync.Mutex
	links   map[string]*link
	closed  bool
	serving sync.WaitGroup
	stop    context.Context
	cancel  context.CancelFunc
}

// New returns a node without connections; register handlers before serving.
func New(name, incarnation string, cellKey []byte, log hclog.Logger) *Node {
	stop, cancel := context.WithCancel(context.Background())
	return &Node{
		name:        name,
		incarnation: incarnation,
		cellKey:     cellKey,
		log:         log.Named("peer"),
		handlers:    make(map[string]handler),
		seen:        func(string, int, int) {},
		links:       make(map[string]*link),
		stop:        stop,
		cancel:      cancel,
	}
}

// ObserveCalls lets seen take the kind of each call, made or answered, and the bytes of its bodies; it is set before the first call.
func (n *Node) ObserveCalls(seen func(kind string, sent, received int)) {
	n.seen = seen
}

// Handle registers the function that answers calls of a kind.
func Handle[In, Out any](n *Node, kind string, fn func(ctx context.Context, from string, in In) (Out, error)) {
	n.handlers[kind] = func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fold.Invalid.Wrap(err, "decode %s", kind)
		}
		return fn(ctx, from, in)
	}
}

// Call sends a request to the peer at the address and waits for its answer. An error with the NotRun trait proves
// that the peer did not act on the request.
func Call[In, Out any](ctx context.Context, n *Node, address, kind string, in In) (Out, error) {
	var out Out
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, fold.Invalid.Wrap(err, "encode %s", kind)
	}
	l, err := n.link(ctx, address)
	if err != nil {
		return out, err
	}
	answer, err := l.call(ctx, kind, body)
	if err != nil {
		return out, err
	}
	if err := cbor.Unmarshal(answer, &out); err != nil {
		return out, fold.Unknown.Wrap(err, "decode answer to %s", kind)
	}
	return out, nil
}

// ServeHTTP accepts a connection from a peer.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !n.enter() {
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
		n.log.Warn("Refused a peer.", "error", err)
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return
	}
	l := newLink(n, conn, from)
	l.run()
}

// Close ends all connections and waits for their handlers.
func (n *Node) Close() error {
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

func (n *Node) enter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.serving.Add(1)
	return true
}

// link returns the connection to an address, opening it if needed.
func (n *Node) link(ctx context.Context, address string) (*link, error) {
	n.mu.Lock()
	l, ok := n.links[address]
	n.mu.Unlock()
	if ok && !l.ended() {
		return l, nil
	}
	l, err := n.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if !n.enter() {
		l.close()
		return nil, fold.Refuse(fold.Unavailable, "use another entry", "entry is stopping")
	}
	n.mu.Lock()
	n.links[address] = l
	n.mu.Unlock()
	go func() {
		defer n.serving.Done()
		l.run()
	}()
	return l, nil
}

func (n *Node) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
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

func (n *Node) sendHello(ctx context.Context, conn *websocket.Conn) (string, error) {
	mine := hello{Name: n.name, Incarnation: n.incarnation, Nonce: newNonce()}
	if err := write(ctx, conn, mine); err != nil {
		return "", err
	}
	var theirs hello
	if err := read(ctx, conn, &theirs); err != nil {
		return "", err
	}
	if err := checkProof(n.cellKey, sideServer, theirs, mine.Nonce, theirs.Nonce); err != nil {
		return "", err
	}
	mine.MAC = proof(n.cellKey, sideClient, mine, mine.Nonce, theirs.Nonce)
	return theirs.Name, write(ctx, conn, mine)
}

func (n *Node) acceptHello(conn *websocket.Conn) (string, error) {
	ctx, cancel := context.WithTimeout(n.stop, handshakeTime)
	defer cancel()
	var first hello
	if err := read(ctx, conn, &first); err != nil {
		return "", err
	}
	mine := hello{Name: n.name, Incarnation: n.incarnation, Nonce: newNonce()}
	mine.MAC = proof(n.cellKey, sideServer, mine, first.Nonce, mine.Nonce)
	if err := write(ctx, conn, mine); err != nil {
		return "", err
	}
	var second hello
	if err := read(ctx, conn, &second); err != nil {
		return "", err
	}
	if second.Name != first.Name {
		return "", fold.Refuse(fold.Unauthorized, "check the peer", "peer changed its name during the handshake")
	}
	return second.Name, checkProof(n.cellKey, sideClient, second, first.Nonce, mine.Nonce)
}

func write(ctx context.Context, conn *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fold.Invalid.Wrap(err, "encode frame")
	}
	return conn.Write(ctx, websocket.MessageBinary, b)
}

func read(ctx context.Context, conn *websocket.Conn, v any) error {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
