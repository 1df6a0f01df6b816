package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyFault is what a proxy does to the bytes of its connections.
type proxyFault int32

const (
	proxySound proxyFault = iota
	// proxyDelay holds bytes back for proxyDelayTime.
	proxyDelay
	// proxyOneWay drops what the server sends.
	proxyOneWay
	// proxySilent drops what both sides send; connections stay open.
	proxySilent
)

const proxyDelayTime = 60 * time.Millisecond

// proxy forwards TCP connections to one address and harms them on order.
type proxy struct {
	address  string
	listener net.Listener
	to       atomic.Value
	fault    atomic.Int32

	mutex sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{address: listener.Addr().String(), listener: listener, conns: make(map[net.Conn]bool)}
	proxy.to.Store(to)
	go proxy.run()
	return proxy, nil
}

func (proxy *proxy) run() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", proxy.to.Load().(string))
		if err != nil {
			reset(near)
			continue
		}
		proxy.mutex.Lock()
		proxy.conns[near], proxy.conns[far] = true, true
		proxy.mutex.Unlock()
		go (&proxyCopy{proxy: proxy, from: near, to: far}).run()
		go (&proxyCopy{proxy: proxy, from: far, to: near, isReply: true}).run()
	}
}

// reset ends a connection with a reset rather than in order.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// resetAll ends all open connections with a reset.
func (proxy *proxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
	clear(proxy.conns)
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.resetAll()
}

// proxyCopy forwards one direction of one connection.
type proxyCopy struct {
	proxy    *proxy
	from, to net.Conn
	isReply  bool
}

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
