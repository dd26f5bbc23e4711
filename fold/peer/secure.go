package peer

import (
	"crypto/tls"
	"net/http"

	"github.com/coder/websocket"
)

// UseTLS makes the node dial over TLS. The node calls config for each dial, so that the configuration may change.
func (n *Transport) UseTLS(config func() (*tls.Config, error)) {
	n.secure = config
}

// dialOptions returns the URL scheme and the options for dialing a peer.
func (n *Transport) dialOptions() (string, *websocket.DialOptions, error) {
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
