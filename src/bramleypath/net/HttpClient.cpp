#include "bramleypath/net/HttpClient.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <curl/curl.h>

#include "bramleypath/net/Clock.h"
#include "bramleypath/net/CurlLoop.h"

namespace bramleypath::net {

namespace {

constexpr const char* kTooLate = "this host was too late to send the request";
constexpr long kSpareConnections = 64;
// Handlers are called for at most this long before others on the io_context get
// their turn. A heartbeat may be late by several turns.
constexpr Duration kMaxTurn = Millis(20);
// A peer that has not accepted a connection after this time is unreachable; a
// handshake takes a few milliseconds.
constexpr Duration kMinConnectTime = Millis(100);
// A deadline that is checked later than this is evidence against this host.
constexpr Duration kMaxCheckDelay = Millis(200);

// A request that the thread of libcurl processes.
struct Transfer {
  ClientRequestId id = 0;
  ClientRequest request;
  ClientHandler handler;
  std::size_t maxAnswerBytes = 0;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  // When this request opened a connection; none while it waits for one of the
  // pool.
  std::optional<TimePoint> connectStartedAt;
  // Set right before the first byte is written to the connection.
  bool sent = false;
  // A connection was ready, but only after connectBy.
  bool connectedLate = false;
  bool tooLarge = false;
  bool framed = false;  // the answer has a length or chunks
  HttpResponse response;
};

bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix) {
  return aText.size() >= aPrefix.size() &&
         std::equal(aPrefix.begin(), aPrefix.end(), aText.begin(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return aLeft == std::tolower(aRight);
                    });
}

std::string_view Trim(std::string_view aText) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t begin = aText.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpace) - begin + 1);
}

// libcurl sends a request again on a new connection when one from its pool was
// closed before an answer came. The server may have run the request by then, so
// the second attempt is aborted here.
int OnBeforeRequest(void* aTransfer, char* /*aRemoteIp*/, char* /*aLocalIp*/,
                    int /*aRemotePort*/, int /*aLocalPort*/) {
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  if (transfer.sent) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (Now() >= transfer.request.connectBy) {
    transfer.connectedLate = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.sent = true;
  return CURL_PREREQFUNC_OK;
}

int OnSocketCreated(void* aTransfer, curl_socket_t /*aSocket*/,
                    curlsocktype /*aPurpose*/) {
  static_cast<Transfer*>(aTransfer)->connectStartedAt = Now();
  return CURL_SOCKOPT_OK;
}

std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount,
                     void* aTransfer) {
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::string_view line(aData, aSize * aCount);
  if (StartsWithIgnoringCase(line, "http/")) {
    // A status line starts a new header block, as after a 1xx answer.
    transfer.response.headers.clear();
    transfer.framed = false;
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  const std::string_view name = Trim(line.substr(0, colon));
  const std::string_view value = Trim(line.substr(colon + 1));
  if (StartsWithIgnoringCase(name, "content-length") ||
      StartsWithIgnoringCase(name, "transfer-encoding")) {
    transfer.framed = true;
  }
  constexpr std::size_t kMaxHeaders = 64;
  if (transfer.response.headers.size() < kMaxHeaders) {
    transfer.response.headers.push_back(
        Header{std::string(name), std::string(value)});
  }
  return line.size();
}

std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount,
                   void* aTransfer) {
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.response.body.size() + bytes > transfer.maxAnswerBytes) {
    transfer.tooLarge = true;
    return 0;
  }
  transfer.response.body.append(aData, bytes);
  return bytes;
}

void SetUp(Transfer& aTransfer, const HttpClientLimits& aLimits) {
  const ClientRequest& request = aTransfer.request;
  CURL* const easy = curl_easy_init();
  aTransfer.easy = easy;
  aTransfer.maxAnswerBytes = aLimits.maxAnswerBytes;
  curl_slist* headers = nullptr;
  // Waiting for "100 Continue" would add a delay to each large request.
  headers = curl_slist_append(headers, "Expect:");
  headers = curl_slist_append(headers,
                              ("Content-Type: " + request.contentType).c_str());
  for (const Header& header : request.headers) {
    headers =
        curl_slist_append(headers, (header.name + ": " + header.value).c_str());
  }
  aTransfer.headers = headers;
  const std::string url = "http://" + request.address + request.path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(aLimits.maxIdle.micros / 1000000));
  if (request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  } else {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnSocketCreated);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
}

bool HasNoBody(std::uint32_t aStatus) {
  return aStatus == 204 || aStatus == 304;
}

ClientResult ResultOf(Transfer& aTransfer, CURLcode aCode) {
  ClientResult result;
  long status = 0;
  curl_easy_getinfo(aTransfer.easy, CURLINFO_RESPONSE_CODE, &status);
  aTransfer.response.status = static_cast<std::uint32_t>(status);
  if (!aTransfer.sent) {
    result.delivery = Delivery::NothingSent;
    result.delayedLocally = aTransfer.connectedLate;
    long error = 0;
    curl_easy_getinfo(aTransfer.easy, CURLINFO_OS_ERRNO, &error);
    result.isConnectionRefused =
        aCode == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
    result.detail =
        aTransfer.connectedLate ? kTooLate : curl_easy_strerror(aCode);
    return result;
  }
  const bool complete =
      aCode == CURLE_OK &&
      (aTransfer.framed || HasNoBody(aTransfer.response.status));
  if (!complete) {
    result.delivery = Delivery::Unknown;
    result.truncated = status != 0;
    result.detail = aTransfer.tooLarge  ? "the answer is too large"
                    : aCode == CURLE_OK ? "the answer has no length"
                                        : curl_easy_strerror(aCode);
    return result;
  }
  result.delivery = Delivery::Answered;
  result.response = std::move(aTransfer.response);
  const std::string* const type =
      FindHeader(result.response.headers, "Content-Type");
  result.response.contentType = type ? *type : std::string();
  return result;
}

// Whether the peer had the time to accept a connection before aPerformedAt,
// when libcurl last looked for it.
bool HadTimeToConnect(const Transfer& aTransfer, TimePoint aPerformedAt) {
  return aTransfer.connectStartedAt &&
         !(aPerformedAt - *aTransfer.connectStartedAt < kMinConnectTime) &&
         aPerformedAt < aTransfer.request.connectBy + kMaxCheckDelay;
}

ClientResult UnconnectedResult(const Transfer& aTransfer,
                               TimePoint aPerformedAt) {
  ClientResult result;
  result.delivery = Delivery::NothingSent;
  result.delayedLocally = !HadTimeToConnect(aTransfer, aPerformedAt);
  result.detail = result.delayedLocally ? kTooLate : "no connection in time";
  return result;
}

ClientResult CancelledResult(const Transfer& aTransfer, const char* aDetail) {
  ClientResult result;
  result.delivery = aTransfer.sent ? Delivery::Unknown : Delivery::NothingSent;
  result.detail = aDetail;
  return result;
}

using TransferDeadline = std::pair<std::int64_t, ClientRequestId>;

// State that only the thread of libcurl uses.
struct CurlEngine {
  HttpClientLimits limits;
  detail::CurlLoop loop;
  std::unordered_map<ClientRequestId, std::unique_ptr<Transfer>> transfers;
  std::set<TransferDeadline> connectDeadlines;
  std::set<TransferDeadline> deadlines;
  TimePoint performedAt;  // when libcurl last looked for ready sockets
};

void Release(CurlEngine& aEngine, Transfer& aTransfer) {
  aEngine.connectDeadlines.erase(
      {aTransfer.request.connectBy.micros, aTransfer.id});
  aEngine.deadlines.erase({aTransfer.request.deadline.micros, aTransfer.id});
  curl_multi_remove_handle(aEngine.loop.Multi(), aTransfer.easy);
  curl_easy_cleanup(aTransfer.easy);
  curl_slist_free_all(aTransfer.headers);
}

TimePoint NextDeadline(const CurlEngine& aEngine) {
  std::int64_t next = kNever.micros;
  if (!aEngine.connectDeadlines.empty()) {
    next = aEngine.connectDeadlines.begin()->first;
  }
  if (!aEngine.deadlines.empty()) {
    next = std::min(next, aEngine.deadlines.begin()->first);
  }
  return TimePoint{next};
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct Finished {
    ClientHandler handler;
    ClientResult result;
  };

  State(asio::io_context& aContext, const HttpClientLimits& aLimits)
      : context(aContext) {
    this->engine.limits = aLimits;
  }

  asio::io_context& context;
  CurlEngine engine;
  std::thread thread;
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> open{0};
  ClientRequestId lastId = 0;  // only used on the io_context

  std::mutex mutex;
  std::deque<std::unique_ptr<Transfer>> submitted;
  std::deque<ClientRequestId> cancelled;
  bool isWakePosted = false;  // the thread of libcurl will take the commands
  std::deque<Finished> finished;
  bool isCallPosted = false;  // a call of CallHandlers is pending

  void Run() {
    while (!this->stopping) {
      this->ProcessCommands();
      this->engine.performedAt = this->engine.loop.Perform();
      this->FinishTransfers();
      this->AbortOverdue();
      this->engine.loop.WaitUntil(NextDeadline(this->engine));
    }
    for (auto& [id, transfer] : this->engine.transfers) {
      Release(this->engine, *transfer);
    }
    this->engine.transfers.clear();
  }

  // Wakes the thread of libcurl after a command was added.
  void WakeEngine() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (std::exchange(this->isWakePosted, true)) {
        return;
      }
    }
    this->engine.loop.Wake();
  }

  void ProcessCommands() {
    std::deque<std::unique_ptr<Transfer>> added;
    std::deque<ClientRequestId> cancelledIds;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->isWakePosted = false;
      added.swap(this->submitted);
      cancelledIds.swap(this->cancelled);
    }
    for (std::unique_ptr<Transfer>& transfer : added) {
      this->Add(std::move(transfer));
    }
    for (const ClientRequestId id : cancelledIds) {
      this->Abort(id, "cancelled");
    }
  }

  void Add(std::unique_ptr<Transfer> aTransfer) {
    Transfer& transfer = *aTransfer;
    SetUp(transfer, this->engine.limits);
    this->engine.connectDeadlines.insert(
        {transfer.request.connectBy.micros, transfer.id});
    this->engine.deadlines.insert(
        {transfer.request.deadline.micros, transfer.id});
    this->engine.transfers.emplace(transfer.id, std::move(aTransfer));
    curl_multi_add_handle(this->engine.loop.Multi(), transfer.easy);
  }

  void Abort(ClientRequestId aId, const char* aDetail) {
    const auto found = this->engine.transfers.find(aId);
    if (found != this->engine.transfers.end()) {
      this->Finish(*found->second, CancelledResult(*found->second, aDetail));
    }
  }

  void Finish(Transfer& aTransfer, ClientResult aResult) {
    this->Post(aTransfer, std::move(aResult));
    Release(this->engine, aTransfer);
    this->engine.transfers.erase(aTransfer.id);
  }

  void AbortOverdue() {
    const std::int64_t now = Now().micros;
    while (!this->engine.connectDeadlines.empty() &&
           this->engine.connectDeadlines.begin()->first <= now) {
      const ClientRequestId id = this->engine.connectDeadlines.begin()->second;
      this->engine.connectDeadlines.erase(
          this->engine.connectDeadlines.begin());
      const auto found = this->engine.transfers.find(id);
      if (found != this->engine.transfers.end() && !found->second->sent) {
        this->Finish(
            *found->second,
            UnconnectedResult(*found->second, this->engine.performedAt));
      }
    }
    while (!this->engine.deadlines.empty() &&
           this->engine.deadlines.begin()->first <= now) {
      this->Abort(this->engine.deadlines.begin()->second, "deadline passed");
    }
  }

  void FinishTransfers() {
    int left = 0;
    while (CURLMsg* const message =
               curl_multi_info_read(this->engine.loop.Multi(), &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      this->Finish(*transfer, ResultOf(*transfer, code));
    }
  }

  void Post(Transfer& aTransfer, ClientResult aResult) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->finished.push_back(
          Finished{std::move(aTransfer.handler), std::move(aResult)});
      if (std::exchange(this->isCallPosted, true)) {
        return;
      }
    }
    this->PostCall();
  }

  void PostCall() {
    asio::post(this->context, [weak = this->weak_from_this()] {
      if (const auto state = weak.lock()) {
        state->CallHandlers();
      }
    });
  }

  // Calls handlers for up to kMaxTurn. The others follow after the timers and
  // connections that are ready, such as the heartbeats of a leader.
  void CallHandlers() {
    const TimePoint end = Now() + kMaxTurn;
    while (!this->stopping && Now() < end) {
      std::optional<Finished> next = this->TakeFinished();
      if (!next) {
        return;
      }
      --this->open;
      next->handler(std::move(next->result));
    }
    this->PostCall();
  }

  std::optional<Finished> TakeFinished() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->finished.empty()) {
      this->isCallPosted = false;
      return std::nullopt;
    }
    Finished next = std::move(this->finished.front());
    this->finished.pop_front();
    return next;
  }
};

HttpClient::HttpClient(asio::io_context& aContext,
                       const HttpClientLimits& aLimits)
    : state(std::make_shared<State>(aContext, aLimits)) {
  CURLM* const multi = this->state->engine.loop.Multi();
  curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(aLimits.maxConnectionsPerHost));
  curl_multi_setopt(
      multi, CURLMOPT_MAXCONNECTS,
      static_cast<long>(aLimits.maxIdleConnections) + kSpareConnections);
  this->state->thread = std::thread([this] { this->state->Run(); });
}

HttpClient::~HttpClient() {
  this->state->stopping = true;
  this->state->engine.loop.Wake();
  this->state->thread.join();
}

ClientRequestId HttpClient::Send(ClientRequest aRequest,
                                 ClientHandler aHandler) {
  auto transfer = std::make_unique<Transfer>();
  transfer->id = ++this->state->lastId;
  transfer->request = std::move(aRequest);
  transfer->handler = std::move(aHandler);
  const ClientRequestId id = transfer->id;
  ++this->state->open;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->submitted.push_back(std::move(transfer));
  }
  this->state->WakeEngine();
  return id;
}

void HttpClient::Cancel(ClientRequestId aId) {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->cancelled.push_back(aId);
  }
  this->state->WakeEngine();
}

std::size_t HttpClient::OpenRequests() const { return this->state->open; }

}  // namespace bramleypath::net
