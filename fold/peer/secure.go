package peer

import (
	"crypto/tls"
	"net/http"

	"github.com/coder/websocket"
)

// UseTLS makes the node dial over TLS; the configuration is asked for at each dial, so that it can change.
func (n *Node) UseTLS(config func() (*tls.Config, error)) {
	n.secure = config
}

// dialOptions returns the scheme and the options by which peers are dialed.
func (n *Node) dialOptions() (string, *websocket.DialOptions, error) {
	options := &websocket.DialOptions{Subprotocols: []string{Protocol}}
	if n.secure == nil {
		return "ws://", options, nil
	}
	config, err := n.secure()
	if err != nil {
		return "", nil, err
	}
	options.HTTPClient = &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	return "wss://", options, nil
}
