package lavbroadcast

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavreport"
	"lavenderswitch/core/services/lavrollout"
	"lavenderswitch/wire/lavwire"
)

// decode returns the message of a datagram.
func decode(state *lavwire.HostState) (*lavreport.Message, error) {
	message := &lavreport.Message{
		From:      lavring.Member{ID: lavid.HostID(state.GetHostId()), DataCentre: lavid.DataCentreID(state.GetDataCentreId()), Address: state.GetAddress(), Capacity: lavring.Capacity(state.GetCapacity())},
		Sequence:  lavreport.Sequence(state.GetSequence()),
		Leaving:   state.GetLeaving(),
		IsRelay:   state.GetRelay(),
		Loads:     make(map[lavid.BackendServerID]lavload.Load, len(state.GetLoads())),
		Cutovers:  decodeCutovers(state.GetCutovers()),
		ForwardTo: state.GetForwardTo(),
	}
	if message.From.ID == "" || message.From.Address == "" {
		return nil, errors.New("datagram names no sender")
	}
	known := false
	for kind, encoded := range kinds {
		if encoded == state.GetKind() {
			message.Kind, known = kind, true
		}
	}
	if !known {
		return nil, errors.Errorf("datagram has the unknown kind %d", state.GetKind())
	}
	for _, load := range state.GetLoads() {
		message.Loads[lavid.BackendServerID(load.GetBackendServerId())] = lavload.Load{
			Requests: int(load.GetRequests()),
			Unread:   float64(load.GetUnreadTokens()),
			Memory:   lavid.Tokens(load.GetMemoryTokens()),
		}
	}
	var err error
	if message.Speeds, err = decodeSpeeds(state.GetSpeeds()); err != nil {
		return nil, err
	}
	if message.Sum, err = decodeSum(state.GetSum()); err != nil {
		return nil, err
	}
	for _, exchanged := range state.GetExchanged() {
		sum, err := decodeSum(exchanged.GetSum())
		if err != nil {
			return nil, err
		}
		message.Exchanged = append(message.Exchanged, lavreport.CentreSum{DataCentre: lavid.DataCentreID(exchanged.GetDataCentreId()), Sum: sum})
	}
	if news := state.GetNews(); news != nil {
		message.News = &lavnews.News{
			Servers:      decodeEdition(news.GetServers()),
			Operations:   decodeEdition(news.GetOperations()),
			CutoversRead: news.GetCutoversRead(),
			Address:      news.GetAddress(),
		}
	}
	for _, notice := range state.GetNotices() {
		limit, valid := lavnotice.ParseLimit(notice.GetLimit())
		if !valid {
			return nil, errors.Errorf("backend server has the limit %v, which is no rate", notice.GetLimit())
		}
		limit.Stated = notice.GetLimited()
		message.Notices = append(message.Notices, lavnotice.Report{
			Instance:   lavserver.InstanceKey(notice.GetInstance()),
			Leaving:    notice.GetLeaving(),
			LeavingFor: time.Duration(notice.GetLeavingMillis()) * time.Millisecond,
			Pause:      time.Duration(notice.GetPauseMillis()) * time.Millisecond,
			LimitKnown: notice.GetLimitKnown(),
			Limit:      limit,
			LimitFor:   time.Duration(notice.GetLimitMillis()) * time.Millisecond,
		})
	}
	if message.PromptParts, err = decodeFindings(state); err != nil {
		return nil, err
	}
	if message.Holdings, err = decodeHoldings(state.GetHeldPrompts()); err != nil {
		return nil, err
	}
	for _, member := range state.GetMembers() {
		message.Members = append(message.Members, lavring.Member{
			ID: lavid.HostID(member.GetHostId()), DataCentre: lavid.DataCentreID(member.GetDataCentreId()), Address: member.GetAddress(),
		})
	}
	return message, nil
}

// decodeHoldings returns which beginnings of prompts servers have read. It fails if the lists have unequal lengths.
func decodeHoldings(encoded *lavwire.HeldPrompts) ([]lavholding.Report, error) {
	keys, instances, ages := encoded.GetKeys(), encoded.GetInstances(), encoded.GetAgesMillis()
	if len(keys) != len(instances) || len(keys) != len(ages) {
		return nil, errors.Errorf("%d beginnings of prompts have %d backend servers and %d ages", len(keys), len(instances), len(ages))
	}
	var reports []lavholding.Report
	for i, key := range keys {
		reports = append(reports, lavholding.Report{
			Key: lavholding.Key(key), Instance: lavserver.InstanceKey(instances[i]), Age: time.Duration(ages[i]) * time.Millisecond,
		})
	}
	return reports, nil
}

// decodeFindings returns which requests and parts of prompts servers ended with. It fails if lists that belong together have
// unequal lengths.
func decodeFindings(state *lavwire.HostState) (lavquarantine.Findings, error) {
	var findings lavquarantine.Findings
	if instances, ages := state.GetAliveInstances(), state.GetAliveMillis(); len(instances) != len(ages) {
		return findings, errors.Errorf("%d backend servers that answered have %d ages", len(instances), len(ages))
	}
	for i, instance := range state.GetAliveInstances() {
		age := time.Duration(state.GetAliveMillis()[i]) * time.Millisecond
		findings.Alive = append(findings.Alive, lavquarantine.Alive{Instance: lavserver.InstanceKey(instance), Age: age})
	}
	for _, encoded := range state.GetPromptParts() {
		report, err := decodeFinding(encoded)
		if err != nil {
			return findings, err
		}
		findings.Keys = append(findings.Keys, report)
	}
	return findings, nil
}

func decodeFinding(encoded *lavwire.PromptPart) (lavquarantine.Report, error) {
	instances, ages, begun, repeat := encoded.GetInstances(), encoded.GetAgesMillis(), encoded.GetBegun(), encoded.GetRepeat()
	if len(ages) != len(instances) || len(begun) != len(instances) || len(repeat) > 0 && len(repeat) != len(instances) {
		return lavquarantine.Report{}, errors.Errorf("prompt part with %d backend servers has %d ages, and %d and %d states", len(instances), len(ages), len(begun), len(repeat))
	}
	report := lavquarantine.Report{
		Key:         lavquarantine.Key(encoded.GetKey()),
		Whole:       encoded.GetWholeRequest(),
		Answered:    encoded.GetAnswered(),
		AnsweredFor: time.Duration(encoded.GetAnsweredMillis()) * time.Millisecond,
		Refused:     encoded.GetRefused(),
		RefusedFor:  time.Duration(encoded.GetRefusedMillis()) * time.Millisecond,
	}
	for i, instance := range instances {
		ending := lavquarantine.ReportedEnding{Instance: lavserver.InstanceKey(instance), Age: time.Duration(ages[i]) * time.Millisecond, Begun: begun[i]}
		if len(repeat) > 0 {
			ending.Repeat = repeat[i]
		}
		report.Endings = append(report.Endings, ending)
	}
	return report, nil
}

func decodeEdition(edition *lavwire.StoreEdition) *lavnews.Edition {
	if edition == nil {
		return nil
	}
	return &lavnews.Edition{
		Revision: lavrevision.Revision{Era: lavrevision.Era(edition.GetEra()), Version: lavrevision.Version(edition.GetVersion())},
		Digest:   lavnews.Digest(edition.GetDigest()),
		Age:      time.Duration(edition.GetAgeMillis()) * time.Millisecond,
	}
}

// decodeSum returns a sum. It fails if its lists have unequal lengths.
func decodeSum(encoded *lavwire.HostSum) (lavreport.Sum, error) {
	speeds, err := decodeSpeeds(encoded.GetSpeeds())
	if err != nil {
		return lavreport.Sum{}, err
	}
	sum := lavreport.Sum{Speeds: speeds, Loads: make(map[lavload.ServerKey]lavload.Load, len(encoded.GetServers())), Cutovers: decodeCutovers(encoded.GetCutovers())}
	hosts, servers := encoded.GetHosts(), encoded.GetServers()
	if len(encoded.GetSequences()) != len(hosts) || len(encoded.GetAgesMillis()) != len(hosts) {
		return lavreport.Sum{}, errors.Errorf("sum of %d hosts has %d sequences and %d ages", len(hosts), len(encoded.GetSequences()), len(encoded.GetAgesMillis()))
	}
	if len(encoded.GetRequests()) != len(servers) || len(encoded.GetUnreadTokens()) != len(servers) || len(encoded.GetMemoryTokens()) != len(servers) {
		return lavreport.Sum{}, errors.Errorf("sum of %d backend servers has %d, %d and %d loads", len(servers),
			len(encoded.GetRequests()), len(encoded.GetUnreadTokens()), len(encoded.GetMemoryTokens()))
	}
	for i, host := range hosts {
		sum.Entries = append(sum.Entries, lavreport.Entry{
			Host:     lavreport.HostKey(host),
			Sequence: lavreport.Sequence(encoded.GetSequences()[i]),
			Age:      time.Duration(encoded.GetAgesMillis()[i]) * time.Millisecond,
			Leaving:  slices.Contains(encoded.GetLeaving(), host),
		})
	}
	for i, server := range servers {
		sum.Loads[lavload.ServerKey(server)] = lavload.Load{
			Requests: int(encoded.GetRequests()[i]),
			Unread:   float64(encoded.GetUnreadTokens()[i]),
			Memory:   lavid.Tokens(encoded.GetMemoryTokens()[i]),
		}
	}
	return sum, nil
}

// decodeSpeeds returns speeds. It fails if their lists have unequal lengths.
func decodeSpeeds(encoded *lavwire.ServerSpeeds) (map[lavload.ServerKey]lavforecast.Speed, error) {
	servers, sums, weights := encoded.GetServers(), encoded.GetSums(), encoded.GetWeights()
	if len(sums) != len(servers) || len(weights) != len(servers) {
		return nil, errors.Errorf("speeds of %d backend servers have %d sums and %d weights", len(servers), len(sums), len(weights))
	}
	speeds := make(map[lavload.ServerKey]lavforecast.Speed, len(servers))
	for i, server := range servers {
		speeds[lavload.ServerKey(server)] = lavforecast.Speed{Sum: speedUnit * float64(sums[i]), Weight: speedUnit * float64(weights[i])}
	}
	return speeds, nil
}

func decodeCutovers(states []*lavwire.CutoverState) []lavcutover.Status {
	statuses := make([]lavcutover.Status, 0, len(states))
	for _, state := range states {
		statuses = append(statuses, decodeCutover(state))
	}
	return statuses
}

func decodeCutover(state *lavwire.CutoverState) lavcutover.Status {
	status := lavcutover.Status{
		Progress: lavcutover.Progress{
			Service:  lavid.ServiceID(state.GetServiceId()),
			To:       lavid.ReleaseID(state.GetReleaseId()),
			State:    lavcutover.State(state.GetState()),
			Began:    time.Duration(state.GetBeganMillis()) * time.Millisecond,
			Duration: time.Duration(state.GetDurationMillis()) * time.Millisecond,
		},
		Revision: lavrevision.Revision{Era: lavrevision.Era(state.GetRowEra()), Version: lavrevision.Version(state.GetRowVersion())},
		Earlier:  state.GetEarlierSessions(),
		Counts:   make(map[lavcutover.Key]lavcutover.Counts, len(state.GetCounts())),
	}
	for i, past := range state.GetPast()[:min(len(state.GetPast()), len(status.Progress.Past))] {
		status.Progress.Past[i] = lavcutover.PastRelease{Release: lavid.ReleaseID(past.GetReleaseId()), State: lavcutover.State(past.GetState())}
	}
	for _, count := range state.GetCounts() {
		key := lavcutover.Key{Service: status.Progress.Service, Release: lavid.ReleaseID(count.GetReleaseId()), Kind: count.GetKind()}
		status.Counts[key] = lavcutover.Counts{
			Failures: sample(count.GetAnswers(), count.GetFailed()),
			Slow:     sample(count.GetPaced(), count.GetSlow()),
			Longer:   sample(count.GetTimed(), count.GetLonger()),
			Delayed:  sample(count.GetExpected(), count.GetDelayed()),
			Sends:    count.GetSends(),
		}
	}
	return status
}

func sample(trials, bad float64) lavrollout.Sample {
	return lavrollout.Sample{Trials: trials, Bad: bad}
}
