package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyFault is the fault that a proxy injects into its connections.
type proxyFault int32

const (
	proxyNoFault proxyFault = iota
	// proxyDelay delays data by proxyDelayTime.
	proxyDelay
	// proxyOneWay drops the data that the server sends.
	proxyOneWay
	// proxySilent drops the data of both sides and keeps the connections open.
	proxySilent
)

const proxyDelayTime = 60 * time.Millisecond

// proxy forwards TCP connections to one address and injects faults into them.
type proxy struct {
	address  string
	listener net.Listener
	// target holds the address to forward to, a string.
	target atomic.Value
	// fault holds a proxyFault.
	fault atomic.Int32

	// mutex guards conns, which holds both ends of each open connection.
	mutex sync.Mutex
	conns map[net.Conn]bool
}

// newProxy returns a proxy that forwards connections to target.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{address: listener.Addr().String(), listener: listener, conns: make(map[net.Conn]bool)}
	proxy.target.Store(target)
	go proxy.run()
	return proxy, nil
}

// run accepts connections until the listener is closed.
func (proxy *proxy) run() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", proxy.target.Load().(string))
		if err != nil {
			reset(client)
			continue
		}
		proxy.mutex.Lock()
		proxy.conns[client], proxy.conns[server] = true, true
		proxy.mutex.Unlock()
		go (&proxyCopy{proxy: proxy, from: client, to: server}).run()
		go (&proxyCopy{proxy: proxy, from: server, to: client, isReply: true}).run()
	}
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// resetAll closes all open connections with a TCP reset.
func (proxy *proxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
	clear(proxy.conns)
}

// close stops accepting connections and resets the open ones.
func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.resetAll()
}

// proxyCopy forwards one direction of one connection.
type proxyCopy struct {
	proxy    *proxy
	from, to net.Conn
	// isReply is true for the direction from the server to the client.
	isReply bool
}

// run forwards data until one side closes its connection.
func (proxycopy *proxyCopy) run() {
	buffer := make([]byte, 16<<10)
	for {
		count, err := proxycopy.from.Read(buffer)
		if err != nil {
			_ = proxycopy.from.Close()
			_ = proxycopy.to.Close()
			return
		}
		switch fault := proxyFault(proxycopy.proxy.fault.Load()); {
		case fault == proxySilent, fault == proxyOneWay && proxycopy.isReply:
			continue
		case fault == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if _, err := proxycopy.to.Write(buffer[:count]); err != nil {
			_ = proxycopy.from.Close()
			return
		}
	}
}
