// Access to the headers and the query of the message that a libwebsockets connection has just
// received.
#pragma once

#include <string>

struct lws;

namespace sequoiapier {

// Returns the value of the header `name` (lower case), or an empty string if there is none.
std::string copyHeader(lws *connection, const std::string &name);

// Returns the query of the request's URI, its parts joined by '&', or an empty string if there is
// none.
std::string copyQuery(lws *connection);

} // namespace sequoiapier
