#include "bramleypath/controller/AnnouncementForwarder.h"

#include <optional>
#include <utility>

#include "bramleypath/codec/CborCursor.h"
#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/eventlog/EventLog.h"

namespace bramleypath::controller {

namespace {

using gateway::Bytes;

// Short against the interval of announcements, and long enough that a frame
// holds many.
constexpr Duration kCollectTime = Millis(50);
constexpr Duration kProbeInterval = Millis(500);
// A loaded leader confirms late. Hosts of earlier versions never do.
constexpr Duration kConfirmationLifetime = Seconds(3);
constexpr std::size_t kFields = 4;

Bytes Encode(gsl::span<const ForwardedAnnouncement> aBatch) {
  Bytes bytes;
  codec::CborWriter writer{bytes};
  writer.Array(static_cast<std::uint64_t>(aBatch.size()));
  for (const ForwardedAnnouncement& one : aBatch) {
    writer.Array(kFields);
    writer.Value(one.worker);
    writer.Signed(one.startedUnixMs);
    writer.Value(one.sequence);
    writer.Signed(one.clockMs);
  }
  return bytes;
}

std::optional<std::vector<ForwardedAnnouncement>> Decode(
    gsl::span<const std::uint8_t> aBytes) {
  codec::CborCursor cursor{aBytes};
  std::vector<ForwardedAnnouncement> batch(cursor.Array());
  for (ForwardedAnnouncement& one : batch) {
    cursor.ArrayOf(kFields);
    one.worker = cursor.Number<workflow::WorkerNumber>();
    one.startedUnixMs = cursor.Signed();
    one.sequence = cursor.Unsigned();
    one.clockMs = cursor.Signed();
  }
  return cursor.IsFinished() ? std::optional(std::move(batch)) : std::nullopt;
}

}  // namespace

AnnouncementForwarder::AnnouncementForwarder(
    gateway::Environment aEnvironment,
    std::function<void(const ForwardedAnnouncement&)> aReceive)
    : environment(std::move(aEnvironment)), receive(std::move(aReceive)) {}

AnnouncementForwarder::~AnnouncementForwarder() { *this->alive = false; }

bool AnnouncementForwarder::IsUsable() const {
  return !this->confirmedLeader.empty() &&
         this->environment.leader() == this->confirmedLeader &&
         this->environment.now() < this->confirmedAt + kConfirmationLifetime &&
         this->environment.isConnected(this->confirmedLeader);
}

bool AnnouncementForwarder::Forward(
    const workflow::State& aState,
    const workflow::Announcement& aAnnouncement) {
  const workflow::WorkerSpec& announced = aAnnouncement.worker;
  const workflow::Worker* const known =
      workflow::FindWorker(aState, announced.id.value);
  if (!known || known->spec.startedUnixMs != announced.startedUnixMs ||
      !workflow::IsSameSpec(known->spec, announced) || !this->IsUsable()) {
    return false;
  }
  if (this->batch.empty()) {
    this->environment.postAfter(kCollectTime, [this, isAlive = this->alive] {
      if (*isAlive) {
        this->Send();
      }
    });
  }
  this->batch.push_back({known->number, announced.startedUnixMs,
                         aAnnouncement.sequence, aAnnouncement.clockMs});
  return true;
}

void AnnouncementForwarder::Send() {
  const auto sent = std::exchange(this->batch, {});
  const HostId leader = this->environment.leader();
  if (!leader.empty()) {
    this->environment.send(leader, kAnnouncementsKind, Encode(sent));
  }
}

void AnnouncementForwarder::Tick(bool aIsLeading) {
  const TimePoint now = this->environment.now();
  if (aIsLeading || now < this->probeAt) {
    return;
  }
  this->probeAt = now + kProbeInterval;
  const HostId leader = this->environment.leader();
  if (!leader.empty() && this->environment.isConnected(leader)) {
    // A frame without announcements asks for a confirmation.
    this->environment.send(leader, kAnnouncementsKind, Encode({}));
  }
}

void AnnouncementForwarder::OnAnnouncements(
    const HostId& aFrom, bool aIsLeading,
    gsl::span<const std::uint8_t> aPayload) {
  const auto received = Decode(aPayload);
  if (!received) {
    eventlog::Write("announcements_malformed", {{"from", aFrom.value}});
    return;
  }
  if (!aIsLeading) {
    return;
  }
  for (const ForwardedAnnouncement& one : *received) {
    this->receive(one);
  }
  this->environment.send(aFrom, kAnnouncementsConfirmedKind, {});
}

void AnnouncementForwarder::OnConfirmed(const HostId& aFrom) {
  this->confirmedLeader = aFrom;
  this->confirmedAt = this->environment.now();
}

}  // namespace bramleypath::controller
