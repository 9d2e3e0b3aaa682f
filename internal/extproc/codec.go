package extproc

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// mostValues is the number of values of a message, at any depth: several times those of the headers that are read, so that a
	// request with some headers too many is answered as such.
	mostValues = 32 * mostHeaders
	// deepestValue is the depth of a header's name in a message.
	deepestValue = 5
)

var errValues = errors.New("message has too many values")

// boundedCodec decodes messages of a bounded number of values. Guards against messages of very many short headers, each of
// which takes many times its bytes in memory once it is decoded.
type boundedCodec struct{ encoding.CodecV2 }

func newBoundedCodec() boundedCodec { return boundedCodec{encoding.GetCodecV2(proto.Name)} }

// Unmarshal decodes a message, unless it has too many values.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	if countValues(buffer.ReadOnlyData(), deepestValue, mostValues) > mostValues {
		return errValues
	}
	if err := c.CodecV2.Unmarshal(mem.BufferSlice{buffer}, v); err != nil {
		return fmt.Errorf("message: %w", err)
	}
	return nil
}

// countValues counts the values of a message (Protocol Buffers, wire format) down to a depth, and goes on until it has
// found more than a number. What is no message counts as one value.
func countValues(b []byte, depth, most int) (n int) {
	for len(b) > 0 && n <= most {
		_, kind, length := protowire.ConsumeTag(b)
		if length < 0 {
			return n
		}
		b = b[length:]
		n++
		if kind == protowire.BytesType {
			inner, length := protowire.ConsumeBytes(b)
			if length < 0 {
				return n
			}
			b = b[length:]
			if depth > 0 {
				n += countValues(inner, depth-1, most-n)
			}
			continue
		}
		length = protowire.ConsumeFieldValue(0, kind, b)
		if length < 0 {
			return n
		}
		b = b[length:]
	}
	return n
}
