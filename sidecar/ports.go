package sidecar

import (
	"net"

	"github.com/oatpin/oatpin/inbound"
)

// port is an address that a node serves.
type port struct {
	addr   string
	listen func(addr string) (net.Listener, error)
	serve  func(net.Listener) error
}

func (n *Node) ports() []port {
	listenTCP := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	ports := []port{
		{n.cfg.PeerAddr, listenTCP, n.peerServer.Serve},
		{n.cfg.CallerAddr, inbound.ListenCallers, n.callerServer.Serve},
		{n.cfg.ReadyAddr, inbound.ListenSmall, n.readyServer.Serve},
		{n.cfg.MetricsAddr, inbound.ListenSmall, n.metricsServer.Serve},
	}
	if n.cfg.ControlAddr != "" {
		ports = append([]port{{n.cfg.ControlAddr, listenTCP, n.peerServer.Serve}}, ports...)
	}
	return ports
}
