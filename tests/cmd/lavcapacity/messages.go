package main

import (
	"bytes"
	"strings"

	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/wire/lavwire"
)

// The IDs in the measured messages.
const (
	hostName  = "entry-host-0123"
	requestID = "0d9f4c1e-3a60-4b8e-9d7e-6d1f0a2b3c4d"
	account   = "account-012"
	version   = "drafting-2-v1"
)

// measureMessages measures the encoded size of each kind of message.
func measureMessages(r *report) error {
	attempt := r.series("attempt", "bytes", "byte of body")
	for _, body := range []int{0, 1000, 4000} {
		attempt.add(float64(body), float64(proto.Size(attemptOf(body))))
	}
	chunk := r.series("frame of one token", "bytes", "byte of event")
	for _, size := range []int{100, 200, 400} {
		length, err := frameSize(&lavwire.Frame{Sequence: 1000, Kind: &lavwire.Frame_Chunk{Chunk: &lavwire.Chunk{Offset: 100000, Data: bytes.Repeat([]byte("x"), size)}}})
		if err != nil {
			return err
		}
		chunk.add(float64(size), length)
	}
	if err := measureFrames(r); err != nil {
		return err
	}
	measureControl(r)
	return nil
}

// attemptOf returns an attempt whose body has the given number of bytes.
func attemptOf(body int) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId: requestID, RequestId: requestID, AccountId: account, BackendServerId: "engine-0123", ConfigNumber: 120000,
		TimeoutMillis: 60000, VersionId: version, Idempotent: true, Stream: true, SessionId: requestID, EstimatedTokens: 800,
		Method: "POST", Path: "/v1/chat/completions", ContentType: "application/json", Body: []byte(strings.Repeat("x", body)),
		Fingerprint: 1 << 63, SenderId: hostName,
	}
}

func frameSize(frame *lavwire.Frame) (float64, error) {
	var buffer bytes.Buffer
	err := lavframe.Write(&buffer, frame)
	return float64(buffer.Len()), err
}

func loadOf() *lavwire.Load {
	return &lavwire.Load{
		BackendServerId: "engine-0123", Running: 40, Waiting: 2, Limit: 50, RunningTokens: 30000, LimitTokens: 40000,
		FirstTokenMicros: 400000, BetweenTokensMicros: 40000, AgeMillis: 20, LoadedVersions: []string{version, version},
	}
}

func measureFrames(r *report) error {
	kinds := []struct {
		name  string
		frame *lavwire.Frame
	}{
		{"heartbeat frame with load", &lavwire.Frame{Sequence: 1000, Kind: &lavwire.Frame_Heartbeat{Heartbeat: &lavwire.Heartbeat{}}, Load: loadOf()}},
		{"accepted frame", &lavwire.Frame{Sequence: 1, Kind: &lavwire.Frame_Accepted{Accepted: &lavwire.Accepted{AttemptId: requestID, ConfigNumber: 120000}}}},
		{"head frame", &lavwire.Frame{Sequence: 2, Kind: &lavwire.Frame_Head{Head: &lavwire.Head{AttemptId: requestID, StatusCode: 200, ContentType: "text/event-stream", VersionId: version}}}},
		{"end frame", &lavwire.Frame{Sequence: 1000, Kind: &lavwire.Frame_End{End: &lavwire.End{Length: 1 << 16, Checksum: 1 << 63, Usage: &lavwire.Usage{InputTokens: 800, OutputTokens: 200}}}}},
	}
	for _, kind := range kinds {
		size, err := frameSize(kind.frame)
		if err != nil {
			return err
		}
		r.series(kind.name, "bytes", "").add(1, size)
	}
	return nil
}

// measureControl measures the messages of session pins, load, evidence and bills.
func measureControl(r *report) {
	pin := &lavwire.PinRequest{AccountId: account, SessionId: requestID, ModelId: "drafting", ProposedVersionId: version}
	r.series("session pin and reply", "bytes", "").add(1, float64(proto.Size(pin)+proto.Size(&lavwire.PinResponse{VersionId: version})))
	r.series("load reply", "bytes", "").add(1, float64(proto.Size(loadOf())))
	evidence := r.series("evidence report", "bytes", "version and class")
	bills := r.series("bill batch", "bytes", "bill")
	for _, n := range []int{5, 15, 60} {
		report := &lavwire.EvidenceReport{SenderId: hostName, ReportNumber: 100000}
		batch := &lavwire.BillBatch{SenderId: hostName}
		for range n {
			report.Counts = append(report.Counts, &lavwire.EvidenceCount{VersionId: version, TaskClass: "short", Answers: 10, Rated: 3, Accepted: 2, CostNanos: 12345})
			batch.Bills = append(batch.Bills, &lavwire.Bill{
				AccountId: account, RequestId: requestID, VersionId: version, CostNanos: 1 << 40, Stages: 1,
				Usage: &lavwire.Usage{InputTokens: 800, OutputTokens: 200}, FinishedUnixMillis: 1 << 40,
			})
		}
		evidence.add(float64(n), float64(proto.Size(report)))
		bills.add(float64(n), float64(proto.Size(batch)))
	}
}
