#include "bramleypath/config/Distribution.h"

#include <algorithm>
#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/config/Codec.h"

namespace bramleypath::config {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AppliedReport& aValue) {
  aVisitor.Required("host", aValue.host);
  aVisitor.Required("data_centre", aValue.dataCentre);
  aVisitor.Required("incarnation", aValue.incarnation);
  aVisitor.Required("index", aValue.index);
  aVisitor.Required("version", aValue.version);
  aVisitor.Required("preset", aValue.preset);
  aVisitor.Required("ready", aValue.ready);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Push& aValue) {
  aVisitor.Required("previous_index", aValue.previousIndex);
  aVisitor.Required("index", aValue.index);
  aVisitor.Required("command", aValue.command);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Digest& aValue) {
  aVisitor.Required("report", aValue.report);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Fetch& aValue) {
  aVisitor.Required("index", aValue.index);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, StateTransfer& aValue) {
  aVisitor.Required("index", aValue.index);
  aVisitor.Required("snapshot", aValue.snapshot);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, IndexQuery& aValue) {
  aVisitor.Required("nonce", aValue.nonce);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, IndexAnswer& aValue) {
  aVisitor.Required("nonce", aValue.nonce);
  aVisitor.Required("index", aValue.index);
  aVisitor.Required("quorum_confirmed", aValue.quorumConfirmed);
}

namespace {

bool IsPeer(const Distribution& aDistribution, const HostId& aHost) {
  return std::any_of(aDistribution.peers.begin(), aDistribution.peers.end(),
                     [&](const Peer& aPeer) { return aPeer.host == aHost; });
}

void SendToAll(const Distribution& aDistribution,
               const DistributionMessage& aMessage,
               DistributionActions& aActions) {
  for (const Peer& peer : aDistribution.peers) {
    aActions.push_back(SendTo{peer.host, aMessage});
  }
}

void UpdateReport(Distribution& aDistribution) {
  AppliedReport& self = aDistribution.self;
  self.index = aDistribution.appliedIndex;
  self.version = aDistribution.state.version;
  self.preset = aDistribution.state.configuration.presetInForce;
  self.ready = aDistribution.ready;
}

void MarkReady(Distribution& aDistribution, ReadyReason aReason,
               DistributionActions& aActions) {
  aDistribution.ready = true;
  UpdateReport(aDistribution);
  aActions.push_back(BecameReady{aDistribution.appliedIndex, aReason});
}

// The highest index of the peers that answered a query within reachableFor.
LogIndex HighestReachable(const Distribution& aDistribution, TimePoint aNow) {
  LogIndex highest = 0;
  for (const auto& [host, answer] : aDistribution.answers) {
    if (aNow <= answer.at + aDistribution.settings.reachableFor) {
      highest = std::max(highest, answer.index);
    }
  }
  return highest;
}

void CheckReady(Distribution& aDistribution, TimePoint aNow,
                DistributionActions& aActions) {
  if (aDistribution.ready) {
    return;
  }
  if (aDistribution.confirmedIndex) {
    if (aDistribution.appliedIndex >= *aDistribution.confirmedIndex) {
      MarkReady(aDistribution, ReadyReason::QuorumConfirmed, aActions);
    }
    return;
  }
  const TimePoint cutOffAt =
      aDistribution.startedAt + aDistribution.settings.cutOffAfter;
  // Index 0 means that no configuration was found anywhere: hosts without a
  // disk that restart together must not make each other ready with none.
  if (aNow >= cutOffAt && aDistribution.appliedIndex > 0 &&
      aDistribution.appliedIndex >= HighestReachable(aDistribution, aNow)) {
    MarkReady(aDistribution, ReadyReason::HighestOfDataCentre, aActions);
  }
}

// Raises the applied index. Callers have checked that aIndex is above it.
void Advance(Distribution& aDistribution, LogIndex aIndex, Version aOldVersion,
             TimePoint aNow, DistributionActions& aActions) {
  aDistribution.appliedIndex = aIndex;
  UpdateReport(aDistribution);
  if (aDistribution.state.version != aOldVersion) {
    aActions.push_back(InForce{aIndex, aDistribution.state.version});
  }
  CheckReady(aDistribution, aNow, aActions);
}

void RequestState(Distribution& aDistribution, const HostId& aFrom,
                  TimePoint aNow, DistributionActions& aActions) {
  if (aNow < aDistribution.fetchAt) {
    return;
  }
  aDistribution.fetchAt = aNow + aDistribution.settings.fetchEvery;
  aActions.push_back(SendTo{aFrom, Fetch{aDistribution.appliedIndex}});
}

bool InstallState(Distribution& aDistribution, LogIndex aIndex,
                  const Bytes& aSnapshot, TimePoint aNow,
                  DistributionActions& aActions) {
  if (aIndex <= aDistribution.appliedIndex) {
    return true;
  }
  auto state = RestoreSnapshot(aSnapshot);
  if (!state) {
    return false;
  }
  const Version old = aDistribution.state.version;
  aDistribution.state = *std::move(state);
  Advance(aDistribution, aIndex, old, aNow, aActions);
  return true;
}

void OnTick(Distribution& aDistribution, TimePoint aNow,
            DistributionActions& aActions) {
  if (!aDistribution.ready && aNow >= aDistribution.queryAt) {
    aDistribution.queryAt = aNow + aDistribution.settings.queryEvery;
    SendToAll(aDistribution, IndexQuery{aDistribution.self.incarnation},
              aActions);
  }
  CheckReady(aDistribution, aNow, aActions);
  if (aNow >= aDistribution.digestAt) {
    aDistribution.digestAt = aNow + aDistribution.settings.digestEvery;
    SendToAll(aDistribution, Digest{aDistribution.self}, aActions);
  }
}

void OnLocallyApplied(Distribution& aDistribution, const LocallyApplied& aEvent,
                      TimePoint aNow, DistributionActions& aActions) {
  if (aEvent.index <= aDistribution.appliedIndex) {
    // A push or state transfer from a peer has already brought this index.
    return;
  }
  const LogIndex previous = aDistribution.appliedIndex;
  const Version old = aDistribution.state.version;
  Outcome outcome = Apply(aDistribution.state, aEvent.command);
  aActions.push_back(Applied{aEvent.index, std::move(outcome)});
  Advance(aDistribution, aEvent.index, old, aNow, aActions);
  if (aEvent.leading) {
    SendToAll(aDistribution,
              Push{previous, aEvent.index, EncodeCommand(aEvent.command)},
              aActions);
  }
}

struct MessageHandler {
  Distribution& distribution;
  const MessageArrived& event;
  TimePoint now;
  DistributionActions& actions;

  void operator()(const Push& aPush) {
    Distribution& self = this->distribution;
    if (aPush.index <= self.appliedIndex) {
      return;
    }
    if (self.appliedIndex < aPush.previousIndex) {
      RequestState(self, this->event.from, this->now, this->actions);
      return;
    }
    const auto command = DecodeCommand(aPush.command);
    if (!command) {
      this->Fault("a push holds a malformed command");
      return;
    }
    const Version old = self.state.version;
    Apply(self.state, *command);
    Advance(self, aPush.index, old, this->now, this->actions);
  }

  void operator()(const Digest& aDigest) {
    Distribution& self = this->distribution;
    if (aDigest.report.host != this->event.from) {
      this->Fault("a digest names another host than its sender");
      return;
    }
    ReceivedReport& known = self.reports[this->event.from];
    const AppliedReport& report = aDigest.report;
    const bool older = report.incarnation < known.report.incarnation ||
                       (report.incarnation == known.report.incarnation &&
                        report.index < known.report.index);
    if (!older) {
      known = ReceivedReport{report, this->now};
    }
    if (report.index > self.appliedIndex) {
      RequestState(self, this->event.from, this->now, this->actions);
    }
  }

  void operator()(const Fetch& aFetch) {
    Distribution& self = this->distribution;
    if (self.appliedIndex > aFetch.index) {
      this->actions.push_back(
          SendTo{this->event.from,
                 StateTransfer{self.appliedIndex, TakeSnapshot(self.state)}});
    }
  }

  void operator()(const StateTransfer& aTransfer) {
    if (!InstallState(this->distribution, aTransfer.index, aTransfer.snapshot,
                      this->now, this->actions)) {
      this->Fault("a state transfer is malformed");
    }
  }

  void operator()(const IndexQuery& aQuery) {
    this->actions.push_back(
        SendTo{this->event.from,
               IndexAnswer{aQuery.nonce, this->distribution.appliedIndex,
                           this->event.leaseHeld}});
  }

  void operator()(const IndexAnswer& aAnswer) {
    Distribution& self = this->distribution;
    if (aAnswer.nonce != self.self.incarnation) {
      return;
    }
    PeerIndex& known = self.answers[this->event.from];
    known = PeerIndex{std::max(known.index, aAnswer.index), this->now};
    if (aAnswer.quorumConfirmed) {
      self.confirmedIndex =
          std::max(self.confirmedIndex.value_or(0), aAnswer.index);
    }
    if (aAnswer.index > self.appliedIndex) {
      RequestState(self, this->event.from, this->now, this->actions);
    }
    CheckReady(self, this->now, this->actions);
  }

  void Fault(std::string aDetail) {
    this->actions.push_back(
        DistributionFault{this->event.from, std::move(aDetail)});
  }
};

void OnPeersChanged(Distribution& aDistribution, const PeersChanged& aEvent) {
  aDistribution.peers.clear();
  for (const Peer& peer : aEvent.peers) {
    if (peer.host != aDistribution.self.host) {
      aDistribution.peers.push_back(peer);
    }
  }
  const auto prune = [&](auto& aMap) {
    for (auto row = aMap.begin(); row != aMap.end();) {
      row =
          IsPeer(aDistribution, row->first) ? std::next(row) : aMap.erase(row);
    }
  };
  prune(aDistribution.reports);
  prune(aDistribution.answers);
}

struct EventHandler {
  Distribution& distribution;
  TimePoint now;
  DistributionActions& actions;

  void operator()(const DistributionTick&) {
    OnTick(this->distribution, this->now, this->actions);
  }

  void operator()(const LocallyApplied& aEvent) {
    OnLocallyApplied(this->distribution, aEvent, this->now, this->actions);
  }

  void operator()(const LocallyRestored& aEvent) {
    if (!InstallState(this->distribution, aEvent.index, aEvent.snapshot,
                      this->now, this->actions)) {
      this->actions.push_back(DistributionFault{
          this->distribution.self.host,
          "the snapshot of this host's own replica is malformed"});
    }
  }

  void operator()(const MessageArrived& aEvent) {
    // Discarding messages of other senders bounds the tables of reports and
    // answers by the number of peers.
    if (!IsPeer(this->distribution, aEvent.from)) {
      this->actions.push_back(
          DistributionFault{aEvent.from, "the sender is not a peer"});
      return;
    }
    std::visit(
        MessageHandler{this->distribution, aEvent, this->now, this->actions},
        aEvent.message);
  }

  void operator()(const PeersChanged& aEvent) {
    OnPeersChanged(this->distribution, aEvent);
  }
};

// Whether all hosts that must confirm the pending change of the key owners have
// reported its version.
bool IsConfirmed(const Distribution& aDistribution) {
  const Configuration& configuration = aDistribution.state.configuration;
  const KeyOwners& owners = configuration.keyOwners;
  const std::set<DataCentreId> centres = DataCentresToConfirm(owners);
  for (const auto& [name, host] : configuration.hosts) {
    if (centres.count(host.dataCentre) == 0) {
      continue;
    }
    const auto report = aDistribution.reports.find(name);
    const bool own = name == aDistribution.self.host;
    const Version version = own ? aDistribution.state.version
                            : report == aDistribution.reports.end()
                                ? 0
                                : report->second.report.version;
    if (version < owners.pendingSince) {
      return false;
    }
  }
  return true;
}

}  // namespace

Bytes EncodeMessage(const DistributionMessage& aMessage) {
  return codec::Json::to_cbor(codec::VariantToJson(aMessage));
}

std::optional<DistributionMessage> DecodeMessage(const Bytes& aBytes) {
  DistributionMessage message;
  codec::FieldError error;
  if (!codec::VariantFromJson(codec::ParseCbor(aBytes), "", message, error)) {
    return std::nullopt;
  }
  return message;
}

Distribution MakeDistribution(const HostId& aSelf,
                              const DataCentreId& aDataCentre,
                              std::uint64_t aIncarnation,
                              const DistributionSettings& aSettings,
                              std::vector<Peer> aPeers, TimePoint aNow) {
  Distribution distribution;
  distribution.settings = aSettings;
  distribution.self.host = aSelf;
  distribution.self.dataCentre = aDataCentre;
  distribution.self.incarnation = aIncarnation;
  distribution.startedAt = aNow;
  distribution.queryAt = aNow;
  distribution.digestAt = aNow;
  distribution.fetchAt = aNow;
  OnPeersChanged(distribution, PeersChanged{std::move(aPeers)});
  return distribution;
}

DistributionActions Step(Distribution& aDistribution,
                         const DistributionEvent& aEvent, TimePoint aNow) {
  DistributionActions actions;
  std::visit(EventHandler{aDistribution, aNow, actions}, aEvent);
  return actions;
}

std::vector<HostInForce> ListInForce(const Distribution& aDistribution,
                                     TimePoint aNow) {
  std::vector<HostInForce> rows;
  const AppliedReport& self = aDistribution.self;
  rows.push_back(HostInForce{self.host, self.dataCentre, true, false,
                             self.ready, self.version, self.preset});
  for (const Peer& peer : aDistribution.peers) {
    HostInForce row;
    row.host = peer.host;
    row.dataCentre = peer.dataCentre;
    const auto found = aDistribution.reports.find(peer.host);
    if (found != aDistribution.reports.end()) {
      const AppliedReport& report = found->second.report;
      row.known = true;
      row.stale =
          aNow > found->second.at + aDistribution.settings.reportStaleAfter;
      row.ready = report.ready;
      row.version = report.version;
      row.preset = report.preset;
    }
    rows.push_back(std::move(row));
  }
  std::sort(rows.begin(), rows.end(),
            [](const HostInForce& aLeft, const HostInForce& aRight) {
              return aLeft.dataCentre == aRight.dataCentre
                         ? aLeft.host < aRight.host
                         : aLeft.dataCentre < aRight.dataCentre;
            });
  return rows;
}

std::optional<Command> DueKeyMove(Distribution& aDistribution, TimePoint aNow) {
  const KeyOwners& owners = aDistribution.state.configuration.keyOwners;
  if (!IsPending(owners)) {
    ForgetKeyMove(aDistribution);
    return std::nullopt;
  }
  if (aDistribution.keyMoveGeneration != owners.generation) {
    ForgetKeyMove(aDistribution);
    aDistribution.keyMoveGeneration = owners.generation;
  }
  if (!aDistribution.keyMoveAt) {
    if (IsConfirmed(aDistribution)) {
      aDistribution.keyMoveAt = aNow + Millis(owners.moveWaitMs);
    }
    return std::nullopt;
  }
  if (aNow < *aDistribution.keyMoveAt) {
    return std::nullopt;
  }
  Command command;
  command.requestId =
      RequestId{kSystemRequestPrefix + std::string("key-owners-") +
                std::to_string(owners.generation)};
  command.change = ActivateKeyOwners{owners.generation};
  return command;
}

void ForgetKeyMove(Distribution& aDistribution) {
  aDistribution.keyMoveAt.reset();
  aDistribution.keyMoveGeneration = 0;
}

}  // namespace bramleypath::config
