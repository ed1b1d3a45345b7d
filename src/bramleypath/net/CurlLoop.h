#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <curl/curl.h>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::net::detail {

struct SocketWatch;

// Drives the transfers of a libcurl multi handle from one thread. The cost of a
// turn depends on the sockets that are ready, not on the open ones. All
// functions but Wake are called on that thread.
class CurlLoop {
 public:
  CurlLoop();
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  CURLM* Multi() const { return this->multi; }
  // Lets libcurl process each socket that is ready, once, and its timeouts that
  // have passed. Returns the time right before it looked at the sockets.
  TimePoint Perform();
  // Returns when a socket is ready, a timeout of libcurl has passed, after
  // Wake, or at the deadline.
  void WaitUntil(TimePoint aDeadline);
  // May be called on any thread. A call before WaitUntil ends that wait.
  void Wake();

 private:
  using WatchPointer = std::shared_ptr<SocketWatch>;

  static int OnSocketChange(CURL* aEasy, curl_socket_t aSocket, int aChange,
                            void* aLoop, void* aUnused);
  static int OnTimeoutChange(CURLM* aMulti, long aTimeoutMs, void* aLoop);
  void Watch(curl_socket_t aSocket, int aEvents);
  void Unwatch(curl_socket_t aSocket);
  void Await(const WatchPointer& aWatch);
  void AwaitEvent(const WatchPointer& aWatch, int aEvent);
  void PerformSockets();
  void PerformTimeouts();

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  CURLM* multi = nullptr;
  std::unordered_map<curl_socket_t, WatchPointer> watches;
  std::vector<WatchPointer> ready;
  TimePoint timeoutAt = kNever;  // when libcurl wants to be called next
  bool isWoken = false;
};

}  // namespace bramleypath::net::detail
