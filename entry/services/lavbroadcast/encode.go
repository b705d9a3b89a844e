package lavbroadcast

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavreport"
	"lavenderswitch/wire/lavwire"
)

// kinds maps the kinds of messages to those on the wire.
var kinds = map[lavreport.Kind]lavwire.MessageKind{
	lavreport.KindReport:   lavwire.MessageKind_MESSAGE_KIND_REPORT,
	lavreport.KindHello:    lavwire.MessageKind_MESSAGE_KIND_HELLO,
	lavreport.KindExchange: lavwire.MessageKind_MESSAGE_KIND_EXCHANGE,
	lavreport.KindTotal:    lavwire.MessageKind_MESSAGE_KIND_TOTAL,
}

// marshal returns the bytes of a message. If they do not fit into a datagram, the speeds and holdings are left out, and then the backend
// servers with the fewest requests, which matter least to a choice.
func marshal(message *lavreport.Message) ([]byte, error) {
	data, err := proto.Marshal(encode(message))
	if err != nil || len(data) <= maxMessageBytes {
		return data, errors.Wrap(err, "encode message")
	}
	smaller := *message
	smaller.Speeds, smaller.Holdings = nil, nil
	smaller.Sum = withoutSpeeds(message.Sum)
	smaller.Exchanged = nil
	for _, sum := range message.Exchanged {
		smaller.Exchanged = append(smaller.Exchanged, lavreport.CentreSum{DataCentre: sum.DataCentre, Sum: withoutSpeeds(sum.Sum)})
	}
	for {
		data, err = proto.Marshal(encode(&smaller))
		if err != nil || len(data) <= maxMessageBytes {
			return data, errors.Wrap(err, "encode message")
		}
		if len(smaller.Exchanged) > 0 {
			smaller.Exchanged = nil // the exchanges bring these sums too
			continue
		}
		if len(smaller.Sum.Loads) == 0 {
			return nil, errors.Errorf("message without loads has %d bytes", len(data))
		}
		smaller.Sum.Loads = busiest(smaller.Sum.Loads, len(smaller.Sum.Loads)*9/10)
	}
}

func withoutSpeeds(sum lavreport.Sum) lavreport.Sum {
	sum.Speeds = nil
	return sum
}

// busiest returns the loads of the servers with the most requests.
func busiest(loads map[lavload.ServerKey]lavload.Load, count int) map[lavload.ServerKey]lavload.Load {
	servers := slices.Collect(maps.Keys(loads))
	slices.SortFunc(servers, func(a, b lavload.ServerKey) int {
		return cmp.Or(cmp.Compare(loads[b].Requests, loads[a].Requests), cmp.Compare(a, b))
	})
	kept := make(map[lavload.ServerKey]lavload.Load, count)
	for _, server := range servers[:count] {
		kept[server] = loads[server]
	}
	return kept
}

// encode returns the datagram of a message.
func encode(message *lavreport.Message) *lavwire.HostState {
	state := &lavwire.HostState{
		HostId:       string(message.From.ID),
		DataCentreId: string(message.From.DataCentre),
		Address:      message.From.Address,
		Capacity:     uint32(message.From.Capacity),
		Leaving:      message.Leaving,
		Parts:        1,
		Kind:         kinds[message.Kind],
		Sequence:     uint32(message.Sequence),
		ForwardTo:    message.ForwardTo,
		Relay:        message.IsRelay,
		Cutovers:     encodeCutovers(message.Cutovers),
		Speeds:       encodeSpeeds(message.Speeds),
	}
	for server, load := range message.Loads {
		state.Loads = append(state.Loads, &lavwire.ServerLoad{
			BackendServerId: string(server),
			Requests:        uint32(load.Requests),
			UnreadTokens:    uint64(max(load.Unread, 0)),
			MemoryTokens:    uint64(max(load.Memory, 0)),
		})
	}
	if message.Kind == lavreport.KindExchange || message.Kind == lavreport.KindTotal {
		state.Sum = encodeSum(message.Sum)
	}
	for _, sum := range message.Exchanged {
		state.Exchanged = append(state.Exchanged, &lavwire.CentreSum{DataCentreId: string(sum.DataCentre), Sum: encodeSum(sum.Sum)})
	}
	if message.News != nil {
		state.News = &lavwire.StoreNews{
			Servers:      encodeEdition(message.News.Servers),
			Operations:   encodeEdition(message.News.Operations),
			CutoversRead: message.News.CutoversRead,
			Address:      message.News.Address,
		}
	}
	for _, notice := range message.Notices {
		state.Notices = append(state.Notices, &lavwire.ServerNotice{
			Instance:      uint64(notice.Instance),
			Leaving:       notice.Leaving,
			LeavingMillis: uint32(notice.LeavingFor.Milliseconds()),
			PauseMillis:   uint32(notice.Pause.Milliseconds()),
			LimitKnown:    notice.LimitKnown,
			LimitMillis:   uint32(notice.LimitFor.Milliseconds()),
			Limited:       notice.Limit.Stated,
			Limit:         float64(notice.Limit.Rate),
		})
	}
	for _, report := range message.PromptParts.Keys {
		state.PromptParts = append(state.PromptParts, encodeFinding(report))
	}
	for _, alive := range message.PromptParts.Alive {
		state.AliveInstances = append(state.AliveInstances, uint64(alive.Instance))
		state.AliveMillis = append(state.AliveMillis, uint32(alive.Age.Milliseconds()))
	}
	state.HeldPrompts = encodeHoldings(message.Holdings)
	for _, member := range message.Members {
		state.Members = append(state.Members, encodeMember(member))
	}
	return state
}

func encodeFinding(report lavquarantine.Report) *lavwire.PromptPart {
	encoded := &lavwire.PromptPart{
		Key:            uint64(report.Key),
		Answered:       report.Answered,
		AnsweredMillis: uint32(report.AnsweredFor.Milliseconds()),
		WholeRequest:   report.Whole,
		Refused:        report.Refused,
		RefusedMillis:  uint32(report.RefusedFor.Milliseconds()),
	}
	for _, ending := range report.Endings {
		encoded.Instances = append(encoded.Instances, uint64(ending.Instance))
		encoded.AgesMillis = append(encoded.AgesMillis, uint32(ending.Age.Milliseconds()))
		encoded.Begun = append(encoded.Begun, ending.Begun)
		encoded.Repeat = append(encoded.Repeat, ending.Repeat)
	}
	return encoded
}

func encodeHoldings(reports []lavholding.Report) *lavwire.HeldPrompts {
	if len(reports) == 0 {
		return nil
	}
	encoded := &lavwire.HeldPrompts{}
	for _, report := range reports {
		encoded.Keys = append(encoded.Keys, uint64(report.Key))
		encoded.Instances = append(encoded.Instances, uint64(report.Instance))
		encoded.AgesMillis = append(encoded.AgesMillis, uint32(report.Age.Milliseconds()))
	}
	return encoded
}

func encodeEdition(edition *lavnews.Edition) *lavwire.StoreEdition {
	if edition == nil {
		return nil
	}
	return &lavwire.StoreEdition{Era: uint64(edition.Era), Version: float64(edition.Version), Digest: uint64(edition.Digest), AgeMillis: uint32(edition.Age.Milliseconds())}
}

func encodeMember(member lavring.Member) *lavwire.HostMember {
	return &lavwire.HostMember{HostId: string(member.ID), DataCentreId: string(member.DataCentre), Address: member.Address, Capacity: uint32(member.Capacity)}
}

func encodeSum(sum lavreport.Sum) *lavwire.HostSum {
	encoded := &lavwire.HostSum{Cutovers: encodeCutovers(sum.Cutovers), Speeds: encodeSpeeds(sum.Speeds)}
	for _, entry := range sum.Entries {
		encoded.Hosts = append(encoded.Hosts, uint32(entry.Host))
		encoded.Sequences = append(encoded.Sequences, uint32(entry.Sequence))
		encoded.AgesMillis = append(encoded.AgesMillis, uint32(entry.Age.Milliseconds()))
		if entry.Leaving {
			encoded.Leaving = append(encoded.Leaving, uint32(entry.Host))
		}
	}
	for server, load := range sum.Loads {
		encoded.Servers = append(encoded.Servers, uint32(server))
		encoded.Requests = append(encoded.Requests, uint32(load.Requests))
		encoded.UnreadTokens = append(encoded.UnreadTokens, uint64(max(load.Unread, 0)))
		encoded.MemoryTokens = append(encoded.MemoryTokens, uint64(max(load.Memory, 0)))
	}
	return encoded
}

// speedUnit is the unit of speeds on the wire.
const speedUnit = 0.01

func encodeSpeeds(speeds map[lavload.ServerKey]lavforecast.Speed) *lavwire.ServerSpeeds {
	if len(speeds) == 0 {
		return nil
	}
	encoded := &lavwire.ServerSpeeds{}
	for server, speed := range speeds {
		encoded.Servers = append(encoded.Servers, uint32(server))
		encoded.Sums = append(encoded.Sums, int32(math.Round(speed.Sum/speedUnit)))
		encoded.Weights = append(encoded.Weights, uint32(math.Round(max(speed.Weight, 0)/speedUnit)))
	}
	return encoded
}

func encodeCutovers(statuses []lavcutover.Status) []*lavwire.CutoverState {
	states := make([]*lavwire.CutoverState, 0, len(statuses))
	for _, status := range statuses {
		states = append(states, encodeCutover(status))
	}
	return states
}

func encodeCutover(row lavcutover.Status) *lavwire.CutoverState {
	state := &lavwire.CutoverState{
		ServiceId:       string(row.Progress.Service),
		ReleaseId:       string(row.Progress.To),
		State:           string(row.Progress.State),
		BeganMillis:     row.Progress.Began.Milliseconds(),
		DurationMillis:  row.Progress.Duration.Milliseconds(),
		RowVersion:      float64(row.Version),
		RowEra:          uint64(row.Era),
		EarlierSessions: row.Earlier,
	}
	for _, past := range row.Progress.Past {
		if past.Release != "" {
			state.Past = append(state.Past, &lavwire.PastRelease{ReleaseId: string(past.Release), State: string(past.State)})
		}
	}
	for key, counts := range row.Counts {
		state.Counts = append(state.Counts, &lavwire.ReleaseCounts{
			ReleaseId: string(key.Release),
			Kind:      key.Kind,
			Answers:   counts.Failures.Trials,
			Failed:    counts.Failures.Bad,
			Paced:     counts.Slow.Trials,
			Slow:      counts.Slow.Bad,
			Timed:     counts.Longer.Trials,
			Longer:    counts.Longer.Bad,
			Expected:  counts.Delayed.Trials,
			Delayed:   counts.Delayed.Bad,
			Sends:     counts.Sends,
		})
	}
	return state
}
