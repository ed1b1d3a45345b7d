#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/gateway/Environment.h"

namespace bramleypath::controller_test {

// Hosts of a group in virtual time, joined by links that deliver frames in
// order after a delay.
class VirtualHosts {
 public:
  struct Frame {
    HostId from;
    HostId to;
    std::string kind;
    gateway::Bytes payload;
  };

  TimePoint now{Seconds(100).micros};
  // The leader that each host knows; empty: none.
  std::map<HostId, HostId> knownLeader;
  std::function<Duration(const Frame&)> frameDelay = [](const Frame&) {
    return Millis(1);
  };
  std::function<bool(const Frame&)> isLost = [](const Frame&) { return false; };
  std::function<void(const Frame&)> deliver;
  std::vector<Frame> sent;

  gateway::Environment MakeEnvironment(const HostId& aSelf) {
    gateway::Environment environment;
    environment.now = [this] { return this->now; };
    environment.post = [this](std::function<void()> aFunction) {
      this->After(Duration(), std::move(aFunction));
    };
    environment.postAfter = [this](Duration aTime,
                                   std::function<void()> aFunction) {
      this->After(aTime, std::move(aFunction));
    };
    environment.peers = [] { return std::vector<HostId>(); };
    environment.isConnected = [](const HostId&) { return true; };
    environment.send = [this, aSelf](const HostId& aTo,
                                     const std::string& aKind,
                                     gateway::Bytes aPayload) {
      this->Send(Frame{aSelf, aTo, aKind, std::move(aPayload)});
    };
    environment.leader = [this, aSelf] { return this->knownLeader[aSelf]; };
    return environment;
  }

  void After(Duration aTime, std::function<void()> aFunction) {
    this->events.emplace(this->now + aTime, std::move(aFunction));
  }

  void Run(Duration aTime) {
    const TimePoint end = this->now + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto first = this->events.extract(this->events.begin());
      this->now = std::max(this->now, first.key());
      first.mapped()();
    }
    this->now = end;
  }

 private:
  void Send(Frame aFrame) {
    this->sent.push_back(aFrame);
    if (this->isLost(aFrame)) {
      return;
    }
    TimePoint& last = this->lastArrival[{aFrame.from, aFrame.to}];
    last = std::max(last, this->now + this->frameDelay(aFrame));
    this->events.emplace(
        last, [this, frame = std::move(aFrame)] { this->deliver(frame); });
  }

  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::pair<HostId, HostId>, TimePoint> lastArrival;
};

}  // namespace bramleypath::controller_test
