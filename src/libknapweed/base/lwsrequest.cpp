// The header table of libwebsockets, by token for the usual headers and by name for the others.

#include "base/lwsrequest.h"

#include <libwebsockets.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace knapweed
{

namespace
{

constexpr std::size_t responseHeadLimit = 8192; ///< bytes
constexpr int queryPartLimit = 8192; ///< bytes of one name=value

struct TokenHeader
{
    const char *name;
    lws_token_indexes token;
};

constexpr std::array<TokenHeader, 2> tokenHeaders {{
    {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
    {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
}};

/// With the colon, as libwebsockets keeps them.
constexpr std::array<const char *, 5> customHeaders {"idempotency-key:", "prefer:", "x-deadline-ms:", "x-request-id:", "x-fence:"};

std::string methodName(lws *wsi)
{
    char *uri = nullptr;
    int length = 0;
    switch (lws_http_get_uri_and_method(wsi, &uri, &length)) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return {};
    }
}

void readQuery(lws *wsi, HttpRequest &request)
{
    std::string part(queryPartLimit, '\0');
    for (int place = 0;; ++place) {
        const int length = lws_hdr_copy_fragment(wsi, part.data(), queryPartLimit, WSI_TOKEN_HTTP_URI_ARGS, place);
        if (length < 0) {
            return;
        }
        const std::string text = part.substr(0, static_cast<std::size_t>(length));
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos) {
            request.query[text];
        } else {
            request.query[text.substr(0, equals)] = text.substr(equals + 1);
        }
    }
}

void readHeaders(lws *wsi, HttpRequest &request)
{
    for (const TokenHeader &header : tokenHeaders) {
        if (lws_hdr_total_length(wsi, header.token) > 0) {
            request.headers[header.name] = readToken(wsi, header.token);
        }
    }
    for (const char *name : customHeaders) {
        const int nameLength = static_cast<int>(std::strlen(name));
        const int length = lws_hdr_custom_length(wsi, name, nameLength);
        if (length < 0) {
            continue;
        }
        std::string text(static_cast<std::size_t>(length) + 1, '\0');
        if (lws_hdr_custom_copy(wsi, text.data(), length + 1, name, nameLength) >= 0) {
            text.resize(static_cast<std::size_t>(length));
            request.headers[std::string(name, static_cast<std::size_t>(nameLength) - 1)] = text;
        }
    }
}

bool isHeaderText(const std::string &text)
{
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (byte < ' ' || byte == 0x7f) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string readToken(lws *wsi, int tokenIndex)
{
    const lws_token_indexes token = static_cast<lws_token_indexes>(tokenIndex);
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, text.data(), length + 1, token);
    text.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return text;
}

bool addHeader(lws *wsi, const std::string &name, const std::string &text, unsigned char **position, unsigned char *end)
{
    const std::string withColon = name + ':';
    return lws_add_http_header_by_name(wsi,
               reinterpret_cast<const unsigned char *>(withColon.c_str()),
               reinterpret_cast<const unsigned char *>(text.c_str()),
               static_cast<int>(text.size()),
               position,
               end)
        == 0;
}

HttpRequest readRequestHead(lws *wsi, const std::string &path)
{
    HttpRequest request;
    request.method = methodName(wsi);
    request.path = path;
    request.host = readToken(wsi, WSI_TOKEN_HOST);
    readQuery(wsi, request);
    readHeaders(wsi, request);
    return request;
}

std::size_t declaredBodyBytes(lws *wsi)
{
    const std::string text = readToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

bool hasChunkedBody(lws *wsi)
{
    return lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
}

bool appendResponseHead(lws *wsi, const HttpResponse &response, bool closes, std::string &output)
{
    std::array<unsigned char, responseHeadLimit> buffer;
    unsigned char *position = buffer.data();
    unsigned char *end = buffer.data() + buffer.size();
    if (lws_add_http_header_status(wsi, static_cast<unsigned int>(response.status), &position, end) != 0) {
        return false;
    }
    for (const auto &[name, text] : response.headers) {
        if (isHeaderText(name) && isHeaderText(text) && !addHeader(wsi, name, text, &position, end)) {
            return false;
        }
    }
    if (closes && !addHeader(wsi, "connection", "close", &position, end)) {
        return false;
    }
    if (lws_add_http_header_content_length(wsi, response.body.size(), &position, end) != 0 || lws_finalize_http_header(wsi, &position, end) != 0) {
        return false;
    }
    output.append(reinterpret_cast<const char *>(buffer.data()), static_cast<std::size_t>(position - buffer.data()));
    return true;
}

} // namespace knapweed
