// serveWithLostAnswer() executes a call but never sends its answer to the caller.
//
// The answer goes to a copy of the exchange that has no connection. The caller of this function
// must keep the original `exchange` alive, so that the connection stays open without an answer.
#pragma once

#include "net/httpexchange.h"
#include "net/rpcserver.h"

#include <memory>

namespace sequoiapier {

inline void serveWithLostAnswer(RpcServer &server, const HttpExchange &exchange)
{
    const auto lost = std::make_shared<HttpExchange>(exchange);
    lost->discard();
    server.serve(lost);
}

} // namespace sequoiapier
