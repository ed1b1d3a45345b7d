#include "bramleypath/cli/CurlTransport.h"

#include <curl/curl.h>

#include <memory>

namespace bramleypath::cli {

namespace {

constexpr long kConnectTimeoutMs = 2000;
constexpr std::size_t kMaxReplyBytes = 64 * 1024 * 1024;

std::size_t AppendBody(char* aData, std::size_t aSize, std::size_t aCount,
                       void* aUser) {
  auto& body = *static_cast<std::string*>(aUser);
  const std::size_t bytes = aSize * aCount;
  if (body.size() + bytes > kMaxReplyBytes) {
    return 0;  // libcurl then aborts the transfer with an error
  }
  body.append(aData, bytes);
  return bytes;
}

struct HandleDeleter {
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
struct ListDeleter {
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

// Whether the transfer failed before a connection was established.
bool IsBeforeConnection(CURLcode aCode, CURL* aHandle) {
  if (aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_COULDNT_RESOLVE_HOST ||
      aCode == CURLE_URL_MALFORMAT || aCode == CURLE_UNSUPPORTED_PROTOCOL) {
    return true;
  }
  curl_off_t connectMicros = 0;
  curl_easy_getinfo(aHandle, CURLINFO_CONNECT_TIME_T, &connectMicros);
  return aCode == CURLE_OPERATION_TIMEDOUT && connectMicros == 0;
}

}  // namespace

HttpReply SendWithCurl(const HttpRequest& aRequest) {
  HttpReply reply;
  const std::unique_ptr<CURL, HandleDeleter> handle(curl_easy_init());
  const std::unique_ptr<curl_slist, ListDeleter> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"));
  if (!handle || !headers) {
    reply.detail = "libcurl could not be initialised";
    return reply;
  }
  CURL* const curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, aRequest.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  // Entry hosts are connected to directly, so proxy variables of the
  // environment are ignored.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(ToMillis(aRequest.timeout)));
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
  if (aRequest.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aRequest.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.body.size()));
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code == CURLE_OK) {
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
    reply.transfer = Transfer::Answered;
    return reply;
  }
  reply.body.clear();
  reply.detail = curl_easy_strerror(code);
  reply.transfer =
      IsBeforeConnection(code, curl) ? Transfer::NotSent : Transfer::Unanswered;
  return reply;
}

}  // namespace bramleypath::cli
