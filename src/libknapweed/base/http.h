// Plain HTTP messages, shared by the server and the client.
#pragma once

#include <map>
#include <string>

namespace knapweed
{

/// Header names are lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest
{
    std::string method; ///< "GET", "POST", "PUT" or "DELETE"
    std::string path; ///< without the query, percent-decoded
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;
    std::string host = {}; ///< of a request received, as the Host header says; not used when sending
    bool isBodyDropped = false; ///< of a request received: HttpServerOptions::keepsBody did not want it
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// The headers that the server passes on, lower case. Others are dropped.
/// authorization, content-type, idempotency-key, prefer, x-deadline-ms, x-fence, x-request-id.
bool isPassedHeader(const std::string &name);

/// A response with a JSON body and its content type.
HttpResponse jsonResponse(int status, std::string body);

} // namespace knapweed
