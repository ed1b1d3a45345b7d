#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <gsl/span>

#include "bramleypath/gateway/Environment.h"
#include "bramleypath/workflow/Announcements.h"
#include "bramleypath/workflow/State.h"

namespace bramleypath::controller {

// Kinds of the frames between the hosts of a group.
constexpr const char* kAnnouncementsKind = "worker-announcements";
constexpr const char* kAnnouncementsConfirmedKind =
    "worker-announcements-confirmed";

// What the leader learns from an announcement that changes nothing.
struct ForwardedAnnouncement {
  workflow::WorkerNumber worker = 0;
  std::int64_t startedUnixMs = 0;
  std::uint64_t sequence = 0;
  std::int64_t clockMs = 0;
};

// Takes workers' announcements on a host that does not lead, and passes what
// they show to the leader, many in one frame. Without it the leader accepts a
// connection for each announcement of each worker.
class AnnouncementForwarder {
 public:
  // aReceive is called on the leader for each forwarded announcement.
  AnnouncementForwarder(
      gateway::Environment aEnvironment,
      std::function<void(const ForwardedAnnouncement&)> aReceive);
  ~AnnouncementForwarder();
  AnnouncementForwarder(const AnnouncementForwarder&) = delete;
  AnnouncementForwarder& operator=(const AnnouncementForwarder&) = delete;

  // Whether the announcement needs no commit and is passed to the leader.
  // aState is that of this host. If not, only the leader can take it.
  bool Forward(const workflow::State& aState,
               const workflow::Announcement& aAnnouncement);
  // Looks for a leader that takes forwarded announcements. Call it at least
  // every 100 ms; aIsLeading: this host leads.
  void Tick(bool aIsLeading);
  void OnAnnouncements(const HostId& aFrom, bool aIsLeading,
                       gsl::span<const std::uint8_t> aPayload);
  void OnConfirmed(const HostId& aFrom);

 private:
  bool IsUsable() const;
  void Send();

  gateway::Environment environment;
  std::function<void(const ForwardedAnnouncement&)> receive;
  // The host that last confirmed a frame as the leader, and when.
  HostId confirmedLeader;
  TimePoint confirmedAt;
  TimePoint probeAt;
  std::vector<ForwardedAnnouncement> batch;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
