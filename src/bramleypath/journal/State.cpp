#include "bramleypath/journal/State.h"

#include <utility>

#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/codec/Fields.h"
#include "bramleypath/journal/internal/JournalFields.h"

namespace bramleypath::journal {

namespace {

// Bytes that JournalState::bytes counts for each record in addition to its key
// and answer.
constexpr std::uint64_t kRecordOverheadBytes = 256;

// The chart "keyed_request" and the indices of its states and events, which are
// looked up once.
struct RequestChart {
  Chart chart = LoadBuiltInChart("keyed_request");
  StateIndex absent = *FindState(this->chart, "Absent");
  StateIndex reserved = *FindState(this->chart, "Reserved");
  StateIndex dispatched = *FindState(this->chart, "Dispatched");
  StateIndex answered = *FindState(this->chart, "Answered");
  StateIndex unknown = *FindState(this->chart, "Unknown");
  StateIndex released = *FindState(this->chart, "Released");
  EventIndex reserve = *FindEvent(this->chart, "reserve");
  EventIndex reserveDispatch = *FindEvent(this->chart, "reserve_dispatch");
  EventIndex dispatch = *FindEvent(this->chart, "dispatch");
  EventIndex answer = *FindEvent(this->chart, "answer");
  EventIndex release = *FindEvent(this->chart, "release");
  EventIndex expire = *FindEvent(this->chart, "expire");
};

const RequestChart& GetRequestChart() {
  static const RequestChart kChart;
  return kChart;
}

std::uint64_t AccountedBytes(const RequestKey& aKey, const Record& aRecord) {
  std::uint64_t bytes =
      kRecordOverheadBytes + aKey.clientAccount.value.size() + aKey.key.size();
  if (aRecord.answer) {
    bytes += aRecord.answer->body.size() + aRecord.answer->contentType.size();
  }
  return bytes;
}

Duration PeriodOf(const JournalState& aState, StateIndex aStage) {
  const RequestChart& chart = GetRequestChart();
  if (aStage == chart.dispatched) {
    return aState.periods.dispatched;
  }
  const bool grant = aStage == chart.reserved || aStage == chart.released;
  return grant ? aState.periods.grant : aState.periods.retention;
}

void SetDeadline(JournalState& aState, const RequestKey& aKey, Record& aRecord,
                 TimePoint aNow) {
  aState.deadlines.erase({aRecord.deadline, aKey});
  aRecord.deadline = aNow + PeriodOf(aState, aRecord.stage);
  aState.deadlines.insert({aRecord.deadline, aKey});
}

std::optional<StateIndex> NextStage(const Record& aRecord, EventIndex aEvent,
                                    const Holder& aHolder) {
  const bool isHolder = aRecord.holder == aHolder;
  const auto guards = [&](std::string_view aGuard) {
    return aGuard == "holder" ? isHolder : !isHolder;
  };
  return NextState(GetRequestChart().chart, aRecord.stage, aEvent, guards);
}

void EnterStage(JournalState& aState, const RequestKey& aKey, Record& aRecord,
                StateIndex aStage, TimePoint aNow) {
  aRecord.stage = aStage;
  aRecord.revision = ++aState.revision;
  SetDeadline(aState, aKey, aRecord, aNow);
}

Outcome MakeOutcome(Result aResult) { return Outcome{aResult, std::nullopt}; }

// Returns the outcome of a Reserve or Dispatch of aHolder, after the record was
// changed. With aDispatch, Granted requires the stage "Dispatched".
Outcome OutcomeFor(const Record& aRecord, const Holder& aHolder,
                   bool aDispatch) {
  const RequestChart& chart = GetRequestChart();
  if (aRecord.stage == chart.answered) {
    return Outcome{Result::Answered, aRecord.answer};
  }
  if (aRecord.stage == chart.unknown) {
    return MakeOutcome(Result::Unknown);
  }
  if (aRecord.stage == chart.released) {
    return MakeOutcome(Result::NotHolder);
  }
  const bool inStage = aRecord.stage == chart.dispatched || !aDispatch;
  return MakeOutcome(aRecord.holder == aHolder && inStage ? Result::Granted
                                                          : Result::Running);
}

struct CommandApplier {
  JournalState& state;
  TimePoint now;

  Record* Find(const RequestKey& aKey) {
    const auto found = this->state.records.find(aKey);
    return found == this->state.records.end() ? nullptr : &found->second;
  }

  bool HasCapacityFor(const RequestKey& aKey) const {
    const std::uint64_t bytes = AccountedBytes(aKey, Record{});
    return this->state.records.size() < this->state.limits.records &&
           this->state.bytes + bytes <= this->state.limits.bytes;
  }

  Outcome operator()(const Reserve& aCommand) {
    const RequestKey& key = aCommand.key;
    if (key.clientAccount.empty() || key.key.empty() ||
        key.clientAccount.value.size() > kMaxKeyBytes ||
        key.key.size() > kMaxKeyBytes || aCommand.holder.host.empty()) {
      return MakeOutcome(Result::Invalid);
    }
    Record* record = this->Find(key);
    if (record == nullptr) {
      if (!this->HasCapacityFor(key)) {
        return MakeOutcome(Result::Full);
      }
      record = &this->state.records[key];
      record->stage = GetRequestChart().absent;
      record->fingerprint = aCommand.fingerprint;
      this->state.bytes += AccountedBytes(key, *record);
    }
    if (!(record->fingerprint == aCommand.fingerprint)) {
      return MakeOutcome(Result::KeyReused);
    }
    const EventIndex event = aCommand.dispatch
                                 ? GetRequestChart().reserveDispatch
                                 : GetRequestChart().reserve;
    if (const auto next = NextStage(*record, event, aCommand.holder)) {
      record->holder = aCommand.holder;
      EnterStage(this->state, key, *record, *next, this->now);
    }
    return OutcomeFor(*record, aCommand.holder, aCommand.dispatch);
  }

  Outcome operator()(const Dispatch& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return MakeOutcome(Result::NotHolder);
    }
    const auto next =
        NextStage(*record, GetRequestChart().dispatch, aCommand.holder);
    if (next) {
      EnterStage(this->state, aCommand.key, *record, *next, this->now);
    }
    return OutcomeFor(*record, aCommand.holder, true);
  }

  Outcome operator()(const Answer& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return MakeOutcome(Result::NotHolder);
    }
    const auto next =
        NextStage(*record, GetRequestChart().answer, aCommand.holder);
    if (next) {
      this->StoreAnswer(aCommand, *record);
      EnterStage(this->state, aCommand.key, *record, *next, this->now);
    }
    const bool answered = record->stage == GetRequestChart().answered;
    return answered ? Outcome{Result::Answered, std::nullopt}
                    : MakeOutcome(Result::NotHolder);
  }

  void StoreAnswer(const Answer& aCommand, Record& aRecord) {
    this->state.bytes -= AccountedBytes(aCommand.key, aRecord);
    aRecord.answer = aCommand.answer;
    const bool exceedsAnswerLimit =
        aCommand.answer.body.size() > this->state.limits.answerBytes ||
        aCommand.answer.contentType.size() > kMaxKeyBytes;
    const std::uint64_t bytes = AccountedBytes(aCommand.key, aRecord);
    if (exceedsAnswerLimit ||
        this->state.bytes + bytes > this->state.limits.bytes) {
      aRecord.answer = StoredAnswer{aCommand.answer.status, "", {}, true};
    }
    this->state.bytes += AccountedBytes(aCommand.key, aRecord);
  }

  Outcome operator()(const Release& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return MakeOutcome(Result::NotHolder);
    }
    const auto next =
        NextStage(*record, GetRequestChart().release, aCommand.holder);
    if (next) {
      EnterStage(this->state, aCommand.key, *record, *next, this->now);
    }
    const bool released = record->stage == GetRequestChart().released;
    return MakeOutcome(released ? Result::Done : Result::NotHolder);
  }

  Outcome operator()(const Expire& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || record->revision != aCommand.revision) {
      return MakeOutcome(Result::Done);
    }
    const auto next =
        NextStage(*record, GetRequestChart().expire, record->holder);
    if (next == GetRequestChart().absent) {
      this->Remove(aCommand.key, *record);
    } else if (next) {
      EnterStage(this->state, aCommand.key, *record, *next, this->now);
    }
    return MakeOutcome(Result::Done);
  }

  void Remove(const RequestKey& aKey, const Record& aRecord) {
    this->state.bytes -= AccountedBytes(aKey, aRecord);
    this->state.deadlines.erase({aRecord.deadline, aKey});
    ++this->state.revision;
    this->state.records.erase(aKey);
  }
};

SnapshotRecord SnapshotRecordOf(const RequestKey& aKey, const Record& aRecord) {
  SnapshotRecord row;
  row.key = aKey;
  row.fingerprint = aRecord.fingerprint;
  row.stage = GetRequestChart().chart.states[aRecord.stage];
  row.holder = aRecord.holder;
  row.revision = aRecord.revision;
  row.answer = aRecord.answer;
  return row;
}

bool RestoreRecord(const codec::Json& aJson, JournalState& aState,
                   TimePoint aNow) {
  SnapshotRecord row;
  codec::FieldError error;
  if (!codec::FromJson(aJson, "", row, error)) {
    return false;
  }
  const auto stage = FindState(GetRequestChart().chart, row.stage);
  if (!stage || *stage == GetRequestChart().absent) {
    return false;
  }
  Record record;
  record.fingerprint = row.fingerprint;
  record.stage = *stage;
  record.holder = row.holder;
  record.answer = std::move(row.answer);
  record.revision = row.revision;
  const auto [entry, added] =
      aState.records.emplace(row.key, std::move(record));
  if (!added) {
    return false;
  }
  aState.bytes += AccountedBytes(entry->first, entry->second);
  SetDeadline(aState, entry->first, entry->second, aNow);
  return true;
}

}  // namespace

Duration MoveWait(const Periods& aPeriods) {
  return aPeriods.grant + aPeriods.dispatched + aPeriods.retention;
}

Outcome Apply(JournalState& aState, const Command& aCommand, TimePoint aNow) {
  return std::visit(CommandApplier{aState, aNow}, aCommand.body);
}

std::vector<Expire> DueExpiries(const JournalState& aState, TimePoint aNow,
                                std::size_t aLimit) {
  std::vector<Expire> due;
  for (const auto& [deadline, key] : aState.deadlines) {
    if (deadline > aNow || due.size() >= aLimit) {
      break;
    }
    due.push_back(Expire{key, aState.records.at(key).revision});
  }
  return due;
}

std::string_view StageName(const Record& aRecord) {
  return GetRequestChart().chart.states[aRecord.stage];
}

const Record* FindRecord(const JournalState& aState, const RequestKey& aKey) {
  const auto found = aState.records.find(aKey);
  return found == aState.records.end() ? nullptr : &found->second;
}

Bytes TakeSnapshot(const JournalState& aState) {
  Bytes bytes;
  bytes.reserve(aState.bytes);
  codec::CborWriter writer{bytes};
  writer.OpenMap();
  writer.Required("revision", aState.revision);
  writer.Required("limits", aState.limits);
  writer.Text("records");
  writer.OpenArray();
  for (const auto& [key, record] : aState.records) {
    writer.Value(SnapshotRecordOf(key, record));
  }
  writer.Close();
  writer.Close();
  return bytes;
}

std::optional<JournalState> RestoreSnapshot(const Bytes& aBytes,
                                            const Periods& aPeriods,
                                            TimePoint aNow) {
  const codec::Json json = codec::ParseCbor(aBytes);
  if (!json.is_object() || !json.contains("revision") ||
      !json.contains("limits") || !json.contains("records") ||
      !json["records"].is_array()) {
    return std::nullopt;
  }
  JournalState state;
  state.periods = aPeriods;
  codec::FieldError error;
  if (!codec::FromJson(json["revision"], "", state.revision, error) ||
      !codec::FromJson(json["limits"], "", state.limits, error)) {
    return std::nullopt;
  }
  for (const codec::Json& row : json["records"]) {
    if (!RestoreRecord(row, state, aNow)) {
      return std::nullopt;
    }
  }
  return state;
}

}  // namespace bramleypath::journal
