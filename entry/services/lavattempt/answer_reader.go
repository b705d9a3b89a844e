package lavattempt

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/wire/lavwire"
)

// answerReader assembles one answer from the frames of one or more connections.
type answerReader struct {
	client       *Client
	sink         lavrequest.Sink
	sinkErr      error
	headReceived bool
	// offset is the number of body bytes received.
	offset     uint64
	frameCount int
	digest     *xxhash.Digest
	// sentAt is when the attempt was first sent.
	sentAt  time.Time
	usage   lavrequest.Usage
	refusal *lavwire.Refusal
}

func newAnswerReader(client *Client, sink lavrequest.Sink) *answerReader {
	return &answerReader{client: client, sink: sink, digest: xxhash.New(), sentAt: time.Now()}
}

// result returns the result of the attempt; err is the error of the last exchange.
func (r *answerReader) result(ctx context.Context, err error) (Result, error) {
	result := Result{Refusal: r.refusal, Usage: r.usage, Delivered: r.offset}
	if r.sinkErr != nil {
		return result, errors.Wrap(r.sinkErr, "write the answer to the caller")
	}
	if err != nil && ctx.Err() != nil {
		return result, errors.Wrap(ctx.Err(), "read the answer")
	}
	result.Unreachable = err != nil
	return result, nil
}

// exchange sends one message and reads frames until the answer ends, the connection fails or SilenceTimeout passes
// without a frame.
func (r *answerReader) exchange(ctx context.Context, client *http.Client, url string, message proto.Message) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(r.client.SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	response, err := post(ctx, client, url, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := lavframe.NewReader(response.Body)
	for {
		frame, err := reader.Read()
		if err != nil {
			return errors.Wrap(err, "stream ended before the answer was complete")
		}
		r.frameCount++
		silenceTimer.Stop()
		ended, err := r.handleFrame(frame)
		if ended || err != nil {
			return err
		}
		silenceTimer.Reset(r.client.SilenceTimeout)
	}
}

// handleFrame handles one frame and reports whether it ends the answer.
func (r *answerReader) handleFrame(frame *lavwire.Frame) (bool, error) {
	if load := frame.GetLoad(); load != nil {
		r.client.Loads.Record(load, time.Now())
	}
	switch kind := frame.GetKind().(type) {
	case *lavwire.Frame_Head:
		return false, r.handleHead(kind.Head)
	case *lavwire.Frame_Chunk:
		return false, r.handleChunk(kind.Chunk)
	case *lavwire.Frame_End:
		return true, r.handleEnd(kind.End)
	case *lavwire.Frame_Refusal:
		r.refusal = kind.Refusal
		return true, nil
	default:
		return false, nil
	}
}

func (r *answerReader) handleHead(head *lavwire.Head) error {
	if r.headReceived {
		return nil
	}
	r.headReceived = true
	r.sinkErr = r.sink.Head(lavrequest.Head{
		StatusCode:  int(head.GetStatusCode()),
		ContentType: head.GetContentType(),
		Version:     lavid.VersionID(head.GetVersionId()),
		Stored:      head.GetStored(),
	})
	return r.sinkErr
}

// handleChunk passes on the bytes that the sink has not received yet. A chunk may overlap the bytes received earlier, but
// not leave a gap.
func (r *answerReader) handleChunk(chunk *lavwire.Chunk) error {
	if chunk.GetOffset() > r.offset {
		return errors.Errorf("chunk at offset %d leaves a gap after %d", chunk.GetOffset(), r.offset)
	}
	skipped := r.offset - chunk.GetOffset()
	if skipped >= uint64(len(chunk.GetData())) {
		return nil
	}
	data := chunk.GetData()[skipped:]
	r.offset += uint64(len(data))
	_, _ = r.digest.Write(data)
	r.sinkErr = r.sink.Chunk(data)
	return r.sinkErr
}

// handleEnd returns an error unless the length and checksum of the answer match.
func (r *answerReader) handleEnd(end *lavwire.End) error {
	if !r.headReceived || end.GetLength() != r.offset || end.GetChecksum() != r.digest.Sum64() {
		return errors.Errorf("answer has %d of %d bytes or a wrong checksum", r.offset, end.GetLength())
	}
	r.usage = lavrequest.Usage{
		InputTokens:  lavid.Tokens(end.GetUsage().GetInputTokens()),
		OutputTokens: lavid.Tokens(end.GetUsage().GetOutputTokens()),
	}
	return nil
}
