package lavframe

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"lavenderswitch/wire/lavwire"
)

// MaxFrameBytes is the maximum size of one frame.
const MaxFrameBytes = 4 << 20

// ContentType is the media type of a stream of frames.
const ContentType = "application/x-lavender-frames"

// Reader reads frames from a stream.
type Reader struct {
	source *bufio.Reader
	limits protodelim.UnmarshalOptions
}

// NewReader returns a reader of the frames in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{
		source: bufio.NewReaderSize(source, 16<<10),
		limits: protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes},
	}
}

// Read returns the next frame. It returns io.EOF if the stream ends between frames, io.ErrUnexpectedEOF if it ends within
// one, and another error if a frame is damaged or larger than MaxFrameBytes.
func (r *Reader) Read() (*lavwire.Frame, error) {
	frame := &lavwire.Frame{}
	if err := r.limits.UnmarshalFrom(r.source, frame); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, err
		}
		return nil, errors.Wrap(err, "read frame; attach again over a new connection")
	}
	return frame, nil
}

// Write writes one frame to w.
func Write(w io.Writer, frame *lavwire.Frame) error {
	_, err := protodelim.MarshalTo(w, frame)
	return errors.Wrap(err, "write frame")
}
