package lavbill

import (
	"encoding/json"
	"net/url"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/wire/lavwire"
)

// BillTable is the table that holds one row for each billed request.
const BillTable = "Bill"

// Key identifies a billed request.
type Key struct {
	Account lavid.AccountID
	Request lavid.RequestID
}

// Bill is the value of a bill row.
type Bill struct {
	Key
	// Version is the model version that answered; it is empty for a plain service.
	Version lavid.VersionID
	Service lavid.ServiceID
	Call    lavid.CallID
	Usage   Usage
	// Cost is the sum over all stages of the cascade.
	Cost lavid.NanoUnits
	// Stages counts the stages of the cascade that answered, including the last one.
	Stages   int
	Finished time.Time
}

// Usage counts the input and output tokens of the stage that answered.
type Usage struct {
	Input  lavid.Tokens
	Output lavid.Tokens
}

// Price returns the cost of one answer of a version: its tokens times the version's prices for each token, or zero when
// the document lacks the version.
func Price(document *lavconfig.Document, version lavid.VersionID, usage Usage) lavid.NanoUnits {
	row := document.Versions[version]
	return lavid.NanoUnits(usage.Input)*row.InputPrice + lavid.NanoUnits(usage.Output)*row.OutputPrice
}

// ForAttempt returns the bill of an attempt that answered its request completely.
func ForAttempt(document *lavconfig.Document, attempt *lavwire.Attempt, usage Usage, now time.Time) Bill {
	bill := Bill{
		Key:      Key{Account: lavid.AccountID(attempt.GetAccountId()), Request: lavid.RequestID(attempt.GetRequestId())},
		Version:  lavid.VersionID(attempt.GetVersionId()),
		Service:  lavid.ServiceID(attempt.GetServiceId()),
		Call:     lavid.CallID(attempt.GetCallId()),
		Usage:    usage,
		Cost:     lavid.NanoUnits(attempt.GetPriorCostNanos()),
		Stages:   int(attempt.GetPriorStages()) + 1,
		Finished: now,
	}
	if bill.Service != "" {
		bill.Cost += document.Services[bill.Service].Calls[bill.Call].Price
		return bill
	}
	bill.Cost += Price(document, bill.Version, usage)
	return bill
}

// insert returns the write of a bill. Its writer id is its key, so that a write by either process confirms the bill for
// both.
func (b Bill) insert() lavplatform.Insert {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	key := url.PathEscape(string(b.Account)) + "/" + url.PathEscape(string(b.Request))
	return lavplatform.Insert{Table: BillTable, Key: key, Writer: key, Value: value}
}

// ToWire returns the message that hands a bill over to another process.
func (b Bill) ToWire() *lavwire.Bill {
	return &lavwire.Bill{
		AccountId:          string(b.Account),
		RequestId:          string(b.Request),
		VersionId:          string(b.Version),
		ServiceId:          string(b.Service),
		CallId:             string(b.Call),
		Usage:              &lavwire.Usage{InputTokens: int64(b.Usage.Input), OutputTokens: int64(b.Usage.Output)},
		CostNanos:          int64(b.Cost),
		Stages:             int32(b.Stages),
		FinishedUnixMillis: b.Finished.UnixMilli(),
	}
}

// FromWire returns the bill that another process handed over.
func FromWire(message *lavwire.Bill) Bill {
	return Bill{
		Key:      Key{Account: lavid.AccountID(message.GetAccountId()), Request: lavid.RequestID(message.GetRequestId())},
		Version:  lavid.VersionID(message.GetVersionId()),
		Service:  lavid.ServiceID(message.GetServiceId()),
		Call:     lavid.CallID(message.GetCallId()),
		Usage:    Usage{Input: lavid.Tokens(message.GetUsage().GetInputTokens()), Output: lavid.Tokens(message.GetUsage().GetOutputTokens())},
		Cost:     lavid.NanoUnits(message.GetCostNanos()),
		Stages:   int(message.GetStages()),
		Finished: time.UnixMilli(message.GetFinishedUnixMillis()),
	}
}
