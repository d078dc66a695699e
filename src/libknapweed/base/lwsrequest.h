// Reads a request out of libwebsockets' header table and writes a response head.
#pragma once

#include "base/http.h"

#include <cstddef>
#include <string>

struct lws;

namespace knapweed
{

/// Method, path, query and passed headers of the request that @p wsi has parsed.
HttpRequest readRequestHead(lws *wsi, const std::string &path);

/// The declared length of the body; 0 when there is none.
std::size_t declaredBodyBytes(lws *wsi);

/// True for bodies that come in chunks, which libwebsockets' server does not read.
bool hasChunkedBody(lws *wsi);

/// Appends status line and headers of @p response, with its content length, to @p output. Returns false when they do not fit.
bool appendResponseHead(lws *wsi, const HttpResponse &response, bool closes, std::string &output);

} // namespace knapweed
