// Reads heads out of libwebsockets' header table and writes them.
#pragma once

#include "base/http.h"

#include <cstddef>
#include <string>

struct lws;

namespace knapweed
{

/// The text of a header by its libwebsockets token; empty when it is not there.
std::string readToken(lws *wsi, int tokenIndex);

/// Writes one header at @p position and moves it. Returns false when there is no room.
bool addHeader(lws *wsi, const std::string &name, const std::string &text, unsigned char **position, unsigned char *end);

/// Method, path, query and passed headers of the request that @p wsi has parsed.
HttpRequest readRequestHead(lws *wsi, const std::string &path);

/// The declared length of the body; 0 when there is none.
std::size_t declaredBodyBytes(lws *wsi);

/// True for bodies that come in chunks, which libwebsockets' server does not read.
bool hasChunkedBody(lws *wsi);

/// Appends status line and headers of @p response, with its content length, to @p output. Returns false when they do not fit.
bool appendResponseHead(lws *wsi, const HttpResponse &response, bool closes, std::string &output);

} // namespace knapweed
