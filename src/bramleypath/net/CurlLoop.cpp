#include "bramleypath/net/CurlLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <asio/error.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>

#include "bramleypath/net/Clock.h"

namespace bramleypath::net::detail {

// A socket of libcurl, which also opens and closes it. Events are
// CURL_CSELECT_IN and CURL_CSELECT_OUT.
struct SocketWatch {
  SocketWatch(asio::io_context& aContext, curl_socket_t aSocket)
      : descriptor(aContext), socket(aSocket) {}

  asio::posix::stream_descriptor descriptor;
  curl_socket_t socket;
  int wanted = 0;   // events that libcurl asked for
  int awaited = 0;  // events with a pending wait
  int ready = 0;    // events that libcurl has not been told yet
  bool isRemoved = false;
};

namespace {

constexpr Duration kMaxWait = Seconds(1);
constexpr int kEvents[] = {CURL_CSELECT_IN, CURL_CSELECT_OUT};
static_assert(CURL_POLL_IN == CURL_CSELECT_IN &&
              CURL_POLL_OUT == CURL_CSELECT_OUT);

asio::posix::stream_descriptor::wait_type WaitTypeOf(int aEvent) {
  return aEvent == CURL_CSELECT_IN ? asio::posix::stream_descriptor::wait_read
                                   : asio::posix::stream_descriptor::wait_write;
}

}  // namespace

CurlLoop::CurlLoop() : context(1), work(asio::make_work_guard(this->context)) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  this->multi = curl_multi_init();
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, OnSocketChange);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, OnTimeoutChange);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
}

CurlLoop::~CurlLoop() {
  curl_multi_cleanup(this->multi);
  while (!this->watches.empty()) {
    this->Unwatch(this->watches.begin()->first);
  }
}

TimePoint CurlLoop::Perform() {
  const TimePoint lookedAt = Now();
  this->context.poll();
  this->PerformSockets();
  this->PerformTimeouts();
  return lookedAt;
}

void CurlLoop::WaitUntil(TimePoint aDeadline) {
  const TimePoint now = Now();
  const TimePoint end = std::min({aDeadline, this->timeoutAt, now + kMaxWait});
  if (!this->isWoken && now < end) {
    this->context.run_one_for(std::chrono::microseconds((end - now).micros));
  }
  this->isWoken = false;
}

void CurlLoop::Wake() {
  asio::post(this->context, [this] { this->isWoken = true; });
}

int CurlLoop::OnSocketChange(CURL* /*aEasy*/, curl_socket_t aSocket,
                             int aChange, void* aLoop, void* /*aUnused*/) {
  auto& loop = *static_cast<CurlLoop*>(aLoop);
  if (aChange == CURL_POLL_REMOVE) {
    loop.Unwatch(aSocket);
  } else {
    loop.Watch(aSocket, aChange);
  }
  return 0;
}

int CurlLoop::OnTimeoutChange(CURLM* /*aMulti*/, long aTimeoutMs, void* aLoop) {
  auto& loop = *static_cast<CurlLoop*>(aLoop);
  loop.timeoutAt = aTimeoutMs < 0 ? kNever : Now() + Millis(aTimeoutMs);
  return 0;
}

void CurlLoop::Watch(curl_socket_t aSocket, int aEvents) {
  WatchPointer& watch = this->watches[aSocket];
  if (!watch) {
    watch = std::make_shared<SocketWatch>(this->context, aSocket);
    // If the socket cannot be watched, its transfer ends at its deadline.
    asio::error_code ignored;
    watch->descriptor.assign(aSocket, ignored);
  }
  watch->wanted = aEvents;
  this->Await(watch);
}

void CurlLoop::Unwatch(curl_socket_t aSocket) {
  const auto found = this->watches.find(aSocket);
  if (found == this->watches.end()) {
    return;
  }
  SocketWatch& watch = *found->second;
  watch.isRemoved = true;
  if (watch.descriptor.is_open()) {
    watch.descriptor.release();
  }
  this->watches.erase(found);
}

void CurlLoop::Await(const WatchPointer& aWatch) {
  for (const int event : kEvents) {
    const bool isKnown = ((aWatch->awaited | aWatch->ready) & event) != 0;
    if ((aWatch->wanted & event) != 0 && !isKnown) {
      this->AwaitEvent(aWatch, event);
    }
  }
}

void CurlLoop::AwaitEvent(const WatchPointer& aWatch, int aEvent) {
  if (!aWatch->descriptor.is_open()) {
    return;
  }
  aWatch->awaited |= aEvent;
  aWatch->descriptor.async_wait(
      WaitTypeOf(aEvent),
      [this, watch = aWatch, aEvent](const asio::error_code& aError) {
        watch->awaited &= ~aEvent;
        if (aError == asio::error::operation_aborted || watch->isRemoved) {
          return;
        }
        if (std::exchange(watch->ready, watch->ready | aEvent) == 0) {
          this->ready.push_back(watch);
        }
      });
}

void CurlLoop::PerformSockets() {
  std::vector<WatchPointer> batch;
  batch.swap(this->ready);
  for (const WatchPointer& watch : batch) {
    const int events = std::exchange(watch->ready, 0) & watch->wanted;
    if (!watch->isRemoved && events != 0) {
      int running = 0;
      curl_multi_socket_action(this->multi, watch->socket, events, &running);
    }
    if (!watch->isRemoved) {
      this->Await(watch);
    }
  }
}

void CurlLoop::PerformTimeouts() {
  if (this->timeoutAt <= Now()) {
    this->timeoutAt = kNever;
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

}  // namespace bramleypath::net::detail
