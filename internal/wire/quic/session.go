package quic

import (
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// session serves what a peer sends on one connection: run accepts its calls, loop
// receives its datagrams.
type session struct {
	endpoint *Endpoint
	conn     *quic.Conn
}

// run accepts calls until the connection or the endpoint closes.
func (session *session) run() {
	for {
		stream, err := session.conn.AcceptStream(session.endpoint.ctx)
		if err != nil {
			return
		}
		inboundstream := session.endpoint.inbound.open(stream)
		if inboundstream == nil {
			stream.CancelRead(1)
			stream.CancelWrite(1)
			continue
		}
		incomingcall := &incomingCall{endpoint: session.endpoint, stream: inboundstream}
		go incomingcall.run()
	}
}

// loop passes datagrams to the handler until the connection or the endpoint closes.
// It drops datagrams that cannot be decoded.
func (session *session) loop() {
	for {
		encoded, err := session.conn.ReceiveDatagram(session.endpoint.ctx)
		if err != nil {
			return
		}
		datagram, err := cbor.Unmarshal[api.Datagram](encoded)
		if err != nil {
			continue
		}
		session.endpoint.handler.ReceiveDatagram(datagram, session.reply)
	}
}

// reply sends a datagram to the peer. Datagrams may be lost, so an error is ignored.
func (session *session) reply(datagram api.Datagram) {
	_ = sendDatagram(session.conn, datagram)
}

// incomingCall is a call that a peer made on a stream.
type incomingCall struct {
	endpoint *Endpoint
	stream   *inboundStream
}

// run reads the call and writes the reply or the partial answers. It resets the
// stream if the call cannot be decoded or the reply cannot be encoded.
func (incomingcall *incomingCall) run() {
	defer incomingcall.stream.release()
	defer incomingcall.stream.CancelRead(0)
	call, err := cbor.Read[api.PeerRequest](incomingcall.stream)
	if err != nil {
		incomingcall.stream.CancelWrite(1)
		return
	}
	incomingcall.stream.endRead()
	if call.HomeQuery != nil {
		incomingcall.endpoint.handler.AnswerHomeQuery(incomingcall.stream.Context(), *call.HomeQuery, incomingcall.send)
		_ = incomingcall.stream.Close()
		return
	}
	reply := incomingcall.endpoint.handler.AnswerCall(incomingcall.stream.Context(), call)
	encoded, err := cbor.MarshalLong(reply)
	if err != nil {
		incomingcall.stream.CancelWrite(1)
		return
	}
	if _, err := incomingcall.stream.Write(encoded); err != nil {
		return
	}
	_ = incomingcall.stream.Close()
}

// send writes a partial answer to the stream.
func (incomingcall *incomingCall) send(answer api.PartialAnswer) error {
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	_, err = incomingcall.stream.Write(encoded)
	return errors.Wrap(err, "send partial answer")
}
