// Processor time of short requests while other requests hang. Its growth with
// the hanging requests is the cost of open transfers per wakeup.

#include <pthread.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <thread>

#include "bramleypath/net/Clock.h"
#include "bramleypath/net/HttpClient.h"
#include "tests/net/RawServer.h"

namespace bramleypath::bench {

namespace {

constexpr std::size_t kShortRequests = 2000;
constexpr std::size_t kMaxConnections = 1000;
constexpr const char* kHangingPath = "/hang";
constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

struct Row {
  std::size_t hanging;
  std::size_t parallel;
};

constexpr Row kRows[] = {{0, 1}, {400, 1}, {0, 8}, {400, 8}};

double SecondsOf(clockid_t aClock) {
  timespec time{};
  clock_gettime(aClock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// Answers requests on a thread of its own, whose processor time is not counted.
class Server {
 public:
  Server()
      : work(asio::make_work_guard(this->context)),
        server(this->context,
               [](const auto& aSocket, std::size_t, const std::string& aData) {
                 if (aData.find(kHangingPath) == std::string::npos) {
                   net_test::Write(*aSocket, kAnswer);
                 }
               }),
        thread([this] { this->context.run(); }) {
    pthread_getcpuclockid(this->thread.native_handle(), &this->clock);
  }
  ~Server() {
    this->context.stop();
    this->thread.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string Address() const { return this->server.Address(); }
  double ProcessorSeconds() const { return SecondsOf(this->clock); }

 private:
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  net_test::RawServer server;
  std::thread thread;
  clockid_t clock{};
};

net::ClientRequest RequestTo(const std::string& aAddress, const char* aPath) {
  net::ClientRequest request;
  request.address = aAddress;
  request.path = aPath;
  request.body = "{}";
  request.connectBy = net::Now() + Seconds(30);
  request.deadline = net::Now() + Seconds(60);
  return request;
}

struct ShortRequests {
  net::HttpClient& client;
  std::string address;
  std::size_t unsent = kShortRequests;
  std::size_t answered = 0;
};

void SendNext(ShortRequests& aRequests) {
  if (aRequests.unsent == 0) {
    return;
  }
  --aRequests.unsent;
  aRequests.client.Send(RequestTo(aRequests.address, "/short"),
                        [&aRequests](const net::ClientResult& aResult) {
                          if (aResult.delivery == net::Delivery::Answered) {
                            ++aRequests.answered;
                          }
                          SendNext(aRequests);
                        });
}

void Measure(const Row& aRow) {
  Server server;
  asio::io_context context;
  const auto work = asio::make_work_guard(context);
  net::HttpClientLimits limits;
  limits.maxConnectionsPerHost = kMaxConnections;
  net::HttpClient client(context, limits);
  for (std::size_t i = 0; i < aRow.hanging; ++i) {
    client.Send(RequestTo(server.Address(), kHangingPath),
                [](const net::ClientResult&) {});
  }
  context.run_for(std::chrono::seconds(1));
  const double before =
      SecondsOf(CLOCK_PROCESS_CPUTIME_ID) - server.ProcessorSeconds();
  ShortRequests requests{client, server.Address()};
  for (std::size_t i = 0; i < aRow.parallel; ++i) {
    SendNext(requests);
  }
  while (client.OpenRequests() > aRow.hanging) {
    context.run_one();
  }
  const double used =
      SecondsOf(CLOCK_PROCESS_CPUTIME_ID) - server.ProcessorSeconds() - before;
  std::printf(
      "%zu of %zu short requests, %zu at a time, %zu hanging: %.1f ms\n",
      requests.answered, kShortRequests, aRow.parallel, aRow.hanging,
      used * 1e3);
}

}  // namespace

}  // namespace bramleypath::bench

int main() {
  for (const bramleypath::bench::Row& row : bramleypath::bench::kRows) {
    bramleypath::bench::Measure(row);
  }
}
