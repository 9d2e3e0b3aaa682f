package cluster

import (
	"maps"
	"slices"
	"testing"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/quota"
	"elderwall/core/cluster/replication"
	"elderwall/core/cluster/variant"
	"elderwall/internal/goldentest"
)

// Numbers and words that stand on the wire and in files: a constant that is moved within its list would change them.
func TestGoldenNumbersAndWords(t *testing.T) {
	var tr goldentest.Transcript
	tr.Values("states of members", membership.Alive, membership.Suspect, membership.Failed, membership.Left)
	tr.Values("messages of members", membership.Ping, membership.PingRequest, membership.Ack, membership.IndirectAck, membership.IndirectNack,
		membership.Join, membership.Table, membership.Refused)
	tr.Values("commands of duties", lease.Declare, lease.Drop, lease.Register, lease.Withdraw, lease.Release, lease.Transfer, lease.Expire,
		lease.ForgiveFailures, lease.Unregister, lease.SkipTokens, lease.RegisterVoter, lease.Started, lease.Completed)
	tr.Values("changes of seats", lease.NoChange, lease.AddLearner, lease.Promote, lease.Remove)
	tr.Values("kinds of budgets", quota.InFlight, quota.Rate, quota.Amount, quota.RateUnits)
	tr.Values("uses of budgets", quota.Duty, quota.UseOrigin, quota.UseRetries, quota.UseTenant, quota.UseHost)
	tr.Values("levels of writes", replication.LevelLocal, replication.LevelCopies, replication.LevelMajority)
	tr.Values("orders of channels", channel.Latest, channel.ByKey, channel.BySender, channel.Causal, channel.Total)
	tr.Values("words of notes", channel.EventEntry, channel.EventGap, channel.EventReset, channel.EventBehind, channel.EventCutOff, channel.EventDeclarationChanged, channel.EventEnded)
	tr.Values("kinds of records", purgefloor.KindID, variant.KindID, channel.EntryKind, channel.WriterKind)
	tr.Values("kinds of seals", sealedMessage, sealedAsk, sealedTold, sealedRaft, sealedTurn, sealedAnswer, sealedSpend, sealedGive,
		sealedMemory, sealedNotes)
	tr.Values("questions", AskMembers, AskWatch, AskLeave, AskDuties, AskTurn, AskCommand, AskSeat, AskFound, AskRecover, AskCounts,
		AskBudgets, AskSpend, AskChannels, AskWrite, AskRead, AskFollow, AskPublish, AskDeclare, askEra, askWhere, askDeclared)
	tr.Values("beginnings of keys", stampAt, vectorAt, recordAt)
	tr.Values("files", logFile, recordsFile)
	tr.Values("channels of the fleet's own", PurgesChannel, VariantsChannel, channel.DutyPrefix, builtIn)
	tr.Values("versions of the wire", Wire1, Wire2, Wire)
	tr.Values("lengths", headLength, sealLength, nonceLength, raftHead)
	tr.Check(t, "numbers.golden")
}

// The words of errors, with the texts that go with them: a dispatcher of another version goes by both.
func TestGoldenReasons(t *testing.T) {
	var tr goldentest.Transcript
	for _, word := range slices.Sorted(maps.Keys(reasons)) {
		tr.Values(word, reasons[word].Error(), reasonOf(reasons[word]))
	}
	tr.Check(t, "reasons.golden")
}
