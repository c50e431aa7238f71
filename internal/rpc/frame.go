package rpc

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Field numbers of AgentFrame and AgentMessage.
const (
	frameMessagesField = protowire.Number(1)
	messageStreamField = protowire.Number(1)
)

// errFrame reports a frame that cannot be decoded.
var errFrame = errors.New("invalid frame")

// frameDecoder decodes an agent's frames without the messages of streams that are not
// wanted: what was under way when a request was cancelled costs no memory.
type frameDecoder struct {
	drpc.Encoding
	// wanted reports whether a message of the stream is to be decoded.
	wanted func(stream uint64) bool
}

// Unmarshal decodes an AgentFrame.
func (d frameDecoder) Unmarshal(b []byte, m drpc.Message) error {
	frame := m.(*wire.AgentFrame)
	proto.Reset(frame)
	wanted := 0 // where the fields begin that are wanted and not decoded yet
	for at := 0; at < len(b); {
		number, kind, tag := protowire.ConsumeTag(b[at:])
		if tag < 0 {
			return errFrame
		}
		size := protowire.ConsumeFieldValue(number, kind, b[at+tag:])
		if size < 0 {
			return errFrame
		}
		next := at + tag + size
		if number == frameMessagesField && kind == protowire.BytesType {
			message, _ := protowire.ConsumeBytes(b[at+tag:])
			if stream, ok := streamOf(message); ok && !d.wanted(stream) {
				if err := mergeFields(b[wanted:at], frame); err != nil {
					return err
				}
				wanted = next
			}
		}
		at = next
	}
	return mergeFields(b[wanted:], frame)
}

func mergeFields(b []byte, frame *wire.AgentFrame) error {
	if len(b) == 0 {
		return nil
	}
	return errors.Wrap(proto.UnmarshalOptions{Merge: true}.Unmarshal(b, frame), "decode frame")
}

// streamOf returns the stream number of an encoded AgentMessage, and false if that is not
// its first field.
func streamOf(b []byte) (stream uint64, ok bool) {
	number, kind, n := protowire.ConsumeTag(b)
	if n < 0 || number != messageStreamField || kind != protowire.VarintType {
		return 0, false
	}
	stream, n = protowire.ConsumeVarint(b[n:])
	return stream, n >= 0
}
