package lavframe

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/wire/lavwire"
)

func testFrames() []*lavwire.Frame {
	return []*lavwire.Frame{
		{Sequence: 1, Kind: &lavwire.Frame_Heartbeat{Heartbeat: &lavwire.Heartbeat{}}, Load: &lavwire.Load{Limit: 3}},
		{Sequence: 2, Kind: &lavwire.Frame_Head{Head: &lavwire.Head{StatusCode: 200}}},
		{Sequence: 3, Kind: &lavwire.Frame_Chunk{Chunk: &lavwire.Chunk{Offset: 7, Data: []byte("data")}}},
		{Sequence: 4, Kind: &lavwire.Frame_End{End: &lavwire.End{Length: 11}}},
	}
}

func encodeTestFrames() []byte {
	var buffer bytes.Buffer
	for _, frame := range testFrames() {
		_ = Write(&buffer, frame)
	}
	return buffer.Bytes()
}

// TestFramesRoundTripAndTruncationIsAnError guards against a stream that is cut within a frame and looks complete.
func TestFramesRoundTripAndTruncationIsAnError(t *testing.T) {
	is := is.New(t)
	stream := encodeTestFrames()
	reader := NewReader(bytes.NewReader(stream))
	for _, want := range testFrames() {
		got, err := reader.Read()
		is.NoErr(err)
		is.True(proto.Equal(got, want))
	}
	_, err := reader.Read()
	is.Equal(err, io.EOF)
	reader = NewReader(bytes.NewReader(stream[:len(stream)-1]))
	for err = nil; err == nil; {
		_, err = reader.Read()
	}
	is.Equal(err, io.ErrUnexpectedEOF)
}

// FuzzReader guards against arbitrary input that makes the reader loop or return a frame above the maximum size.
func FuzzReader(f *testing.F) {
	stream := encodeTestFrames()
	f.Add(stream)
	f.Add(stream[:len(stream)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewReader(bytes.NewReader(data))
		for range len(data) + 1 {
			frame, err := reader.Read()
			if err != nil {
				return
			}
			if proto.Size(frame) > MaxFrameBytes {
				t.Fatal("frame is larger than MaxFrameBytes")
			}
		}
		t.Fatal("reader returned more frames than the input has bytes")
	})
}
