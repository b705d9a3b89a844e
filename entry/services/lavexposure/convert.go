package lavexposure

import (
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/wire/lavwire"
)

// toWire converts counts to messages.
func toWire(counts []lavevidence.Count) []*lavwire.EvidenceCount {
	messages := make([]*lavwire.EvidenceCount, 0, len(counts))
	for _, count := range counts {
		messages = append(messages, &lavwire.EvidenceCount{
			VersionId:      string(count.Version),
			AfterVersionId: string(count.After),
			TaskClass:      string(count.Class),
			Answers:        count.Answers,
			Rated:          count.Rated,
			Accepted:       count.Accepted,
			Failed:         count.Failed,
			CostNanos:      int64(count.Cost),
		})
	}
	return messages
}

// fromWire converts messages to counts.
func fromWire(messages []*lavwire.EvidenceCount) []lavevidence.Count {
	counts := make([]lavevidence.Count, 0, len(messages))
	for _, message := range messages {
		counts = append(counts, lavevidence.Count{
			Key: lavevidence.Key{
				Version: lavid.VersionID(message.GetVersionId()),
				After:   lavid.VersionID(message.GetAfterVersionId()),
				Class:   lavid.TaskClass(message.GetTaskClass()),
			},
			Counts: lavevidence.Counts{
				Answers:  message.GetAnswers(),
				Rated:    message.GetRated(),
				Accepted: message.GetAccepted(),
				Failed:   message.GetFailed(),
				Cost:     lavid.NanoUnits(message.GetCostNanos()),
			},
		})
	}
	return counts
}
