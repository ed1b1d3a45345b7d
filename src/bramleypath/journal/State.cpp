#include "bramleypath/journal/State.h"

#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/journal/internal/JournalFields.h"

namespace bramleypath::journal {

namespace {

// Counted for each record beside its key and answer.
constexpr std::uint64_t kRecordCost = 256;

// The chart with its states and events looked up once.
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

const RequestChart& Charted() {
  static const RequestChart kChart;
  return kChart;
}

std::uint64_t CostOf(const RequestKey& aKey, const Record& aRecord) {
  std::uint64_t cost =
      kRecordCost + aKey.clientAccount.value.size() + aKey.key.size();
  if (aRecord.answer) {
    cost += aRecord.answer->body.size() + aRecord.answer->contentType.size();
  }
  return cost;
}

Duration PeriodOf(const JournalState& aState, StateIndex aStage) {
  const RequestChart& chart = Charted();
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

std::optional<StateIndex> Next(const Record& aRecord, EventIndex aEvent,
                               const Holder& aHolder) {
  const bool isHolder = aRecord.holder == aHolder;
  const auto guards = [&](std::string_view aGuard) {
    return aGuard == "holder" ? isHolder : !isHolder;
  };
  return NextState(Charted().chart, aRecord.stage, aEvent, guards);
}

void Enter(JournalState& aState, const RequestKey& aKey, Record& aRecord,
           StateIndex aStage, TimePoint aNow) {
  aRecord.stage = aStage;
  aRecord.revision = ++aState.revision;
  SetDeadline(aState, aKey, aRecord, aNow);
}

Outcome Make(Result aResult) { return Outcome{aResult, std::nullopt}; }

// What a record tells a holder that asks for the grant.
Outcome DescribeTo(const Record& aRecord, const Holder& aHolder,
                   bool aDispatch) {
  const RequestChart& chart = Charted();
  if (aRecord.stage == chart.answered) {
    return Outcome{Result::Answered, aRecord.answer};
  }
  if (aRecord.stage == chart.unknown) {
    return Make(Result::Unknown);
  }
  if (aRecord.stage == chart.released) {
    return Make(Result::NotHolder);
  }
  const bool inStage = aRecord.stage == chart.dispatched || !aDispatch;
  return Make(aRecord.holder == aHolder && inStage ? Result::Granted
                                                   : Result::Running);
}

struct CommandApplier {
  JournalState& state;
  TimePoint now;

  Record* Find(const RequestKey& aKey) {
    const auto found = this->state.records.find(aKey);
    return found == this->state.records.end() ? nullptr : &found->second;
  }

  bool HasRoom(const RequestKey& aKey) const {
    const std::uint64_t cost = CostOf(aKey, Record{});
    return this->state.records.size() < this->state.limits.records &&
           this->state.bytes + cost <= this->state.limits.bytes;
  }

  Outcome operator()(const Reserve& aCommand) {
    const RequestKey& key = aCommand.key;
    if (key.clientAccount.empty() || key.key.empty() ||
        key.clientAccount.value.size() > kMaxKeyBytes ||
        key.key.size() > kMaxKeyBytes || aCommand.holder.host.empty()) {
      return Make(Result::Invalid);
    }
    Record* record = this->Find(key);
    if (record == nullptr) {
      if (!this->HasRoom(key)) {
        return Make(Result::Full);
      }
      record = &this->state.records[key];
      record->stage = Charted().absent;
      record->fingerprint = aCommand.fingerprint;
      this->state.bytes += CostOf(key, *record);
    }
    if (!(record->fingerprint == aCommand.fingerprint)) {
      return Make(Result::KeyReused);
    }
    const EventIndex event =
        aCommand.dispatch ? Charted().reserveDispatch : Charted().reserve;
    if (const auto next = Next(*record, event, aCommand.holder)) {
      record->holder = aCommand.holder;
      Enter(this->state, key, *record, *next, this->now);
    }
    return DescribeTo(*record, aCommand.holder, aCommand.dispatch);
  }

  Outcome operator()(const Dispatch& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return Make(Result::NotHolder);
    }
    const auto next = Next(*record, Charted().dispatch, aCommand.holder);
    if (next) {
      Enter(this->state, aCommand.key, *record, *next, this->now);
    }
    return DescribeTo(*record, aCommand.holder, true);
  }

  Outcome operator()(const Answer& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return Make(Result::NotHolder);
    }
    const auto next = Next(*record, Charted().answer, aCommand.holder);
    if (next) {
      this->StoreAnswer(aCommand, *record);
      Enter(this->state, aCommand.key, *record, *next, this->now);
    }
    const bool answered = record->stage == Charted().answered;
    return answered ? Outcome{Result::Answered, std::nullopt}
                    : Make(Result::NotHolder);
  }

  void StoreAnswer(const Answer& aCommand, Record& aRecord) {
    this->state.bytes -= CostOf(aCommand.key, aRecord);
    aRecord.answer = aCommand.answer;
    const bool tooLarge =
        aCommand.answer.body.size() > this->state.limits.answerBytes ||
        aCommand.answer.contentType.size() > kMaxKeyBytes;
    const std::uint64_t cost = CostOf(aCommand.key, aRecord);
    if (tooLarge || this->state.bytes + cost > this->state.limits.bytes) {
      aRecord.answer = StoredAnswer{aCommand.answer.status, "", {}, true};
    }
    this->state.bytes += CostOf(aCommand.key, aRecord);
  }

  Outcome operator()(const Release& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || !(record->holder == aCommand.holder)) {
      return Make(Result::NotHolder);
    }
    const auto next = Next(*record, Charted().release, aCommand.holder);
    if (next) {
      Enter(this->state, aCommand.key, *record, *next, this->now);
    }
    const bool released = record->stage == Charted().released;
    return Make(released ? Result::Done : Result::NotHolder);
  }

  Outcome operator()(const Expire& aCommand) {
    Record* const record = this->Find(aCommand.key);
    if (record == nullptr || record->revision != aCommand.revision) {
      return Make(Result::Done);
    }
    const auto next = Next(*record, Charted().expire, record->holder);
    if (next == Charted().absent) {
      this->Remove(aCommand.key, *record);
    } else if (next) {
      Enter(this->state, aCommand.key, *record, *next, this->now);
    }
    return Make(Result::Done);
  }

  void Remove(const RequestKey& aKey, const Record& aRecord) {
    this->state.bytes -= CostOf(aKey, aRecord);
    this->state.deadlines.erase({aRecord.deadline, aKey});
    ++this->state.revision;
    this->state.records.erase(aKey);
  }
};

codec::Json RecordToJson(const RequestKey& aKey, const Record& aRecord) {
  SnapshotRecord row;
  row.key = aKey;
  row.fingerprint = aRecord.fingerprint;
  row.stage = Charted().chart.states[aRecord.stage];
  row.holder = aRecord.holder;
  row.revision = aRecord.revision;
  row.answer = aRecord.answer;
  return codec::ToJson(row);
}

bool AddRecord(const codec::Json& aJson, JournalState& aState, TimePoint aNow) {
  SnapshotRecord row;
  codec::FieldError error;
  if (!codec::FromJson(aJson, "", row, error)) {
    return false;
  }
  const auto stage = FindState(Charted().chart, row.stage);
  if (!stage || *stage == Charted().absent) {
    return false;
  }
  Record record;
  record.fingerprint = row.fingerprint;
  record.stage = *stage;
  record.holder = row.holder;
  record.answer = std::move(row.answer);
  record.revision = row.revision;
  const auto [place, added] =
      aState.records.emplace(row.key, std::move(record));
  if (!added) {
    return false;
  }
  aState.bytes += CostOf(place->first, place->second);
  SetDeadline(aState, place->first, place->second, aNow);
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
  return Charted().chart.states[aRecord.stage];
}

const Record* FindRecord(const JournalState& aState, const RequestKey& aKey) {
  const auto found = aState.records.find(aKey);
  return found == aState.records.end() ? nullptr : &found->second;
}

Bytes TakeSnapshot(const JournalState& aState) {
  codec::Json json{{"revision", aState.revision},
                   {"limits", codec::ToJson(aState.limits)}};
  codec::Json& records = json["records"] = codec::Json::array();
  for (const auto& [key, record] : aState.records) {
    records.push_back(RecordToJson(key, record));
  }
  return codec::Json::to_cbor(json);
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
    if (!AddRecord(row, state, aNow)) {
      return std::nullopt;
    }
  }
  return state;
}

}  // namespace bramleypath::journal
