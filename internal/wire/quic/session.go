package quic

import (
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// session serves one connection: run takes calls, loop takes datagrams.
type session struct {
	endpoint *Endpoint
	conn     *quic.Conn
}

func (session *session) run() {
	for {
		stream, err := session.conn.AcceptStream(session.endpoint.ctx)
		if err != nil {
			return
		}
		exchange := &served{endpoint: session.endpoint, stream: stream}
		go exchange.run()
	}
}

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

func (session *session) reply(datagram api.Datagram) {
	_ = sendDatagram(session.conn, datagram)
}

// served is one call of a peer.
type served struct {
	endpoint *Endpoint
	stream   *quic.Stream
}

func (served *served) run() {
	defer served.stream.CancelRead(0)
	call, err := cbor.Read[api.PeerRequest](served.stream)
	if err != nil {
		served.stream.CancelWrite(1)
		return
	}
	if call.HomeQuery != nil {
		served.endpoint.handler.AnswerHomeQuery(served.stream.Context(), *call.HomeQuery, served.send)
		_ = served.stream.Close()
		return
	}
	reply := served.endpoint.handler.AnswerCall(served.stream.Context(), call)
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		served.stream.CancelWrite(1)
		return
	}
	if _, err := served.stream.Write(encoded); err != nil {
		return
	}
	_ = served.stream.Close()
}

// send writes one block of an answer.
func (served *served) send(block api.PartialAnswer) error {
	encoded, err := cbor.Marshal(block)
	if err != nil {
		return err
	}
	_, err = served.stream.Write(encoded)
	return errors.Wrap(err, "send block")
}
