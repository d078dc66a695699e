// Helpers on plain HTTP messages.

#include "base/http.h"

#include <algorithm>
#include <array>
#include <utility>

namespace knapweed
{

bool isPassedHeader(const std::string &name)
{
    static const std::array<std::string, 7> passed {"authorization", "content-type", "idempotency-key", "prefer", "x-deadline-ms", "x-fence", "x-request-id"};
    return std::find(passed.begin(), passed.end(), name) != passed.end();
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace knapweed
