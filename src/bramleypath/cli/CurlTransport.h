#pragma once

#include "bramleypath/cli/Environment.h"

namespace bramleypath::cli {

// Sends one request with libcurl and blocks until the reply, an error or the
// timeout of the request.
HttpReply SendWithCurl(const HttpRequest& aRequest);

}  // namespace bramleypath::cli
