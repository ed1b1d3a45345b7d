#pragma once

#include "bramleypath/cli/Environment.h"

namespace bramleypath::cli {

// Sends one request with libcurl and waits for the reply.
HttpReply SendWithCurl(const HttpRequest& aRequest);

}  // namespace bramleypath::cli
