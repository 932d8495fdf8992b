#include "net/rpcserver.h"

#include <thrift/TApplicationException.h>

namespace sequoiapier {

namespace {

constexpr int StatusBadRequest = 400;

void replySchemaMismatch(HttpExchange &exchange, std::string_view detail)
{
    const auto code = std::to_string(int(ResultCode::SchemaMismatch));
    exchange.reply({.status = StatusBadRequest,
                    .headers = {{"x-sequoiapier-code", code}},
                    .body = std::string(detail) + "\n"});
}

} // namespace

void RpcServer::serve(const std::shared_ptr<HttpExchange> &exchange) const
{
    try {
        detail::RpcReader reader(exchange->request().body);
        const auto method = m_methods.find(reader.method);
        if (method != m_methods.end()) {
            method->second(reader, exchange);
            return;
        }
        const apache::thrift::TApplicationException unknown(
            apache::thrift::TApplicationException::UNKNOWN_METHOD,
            "unknown method " + reader.method);
        replyBytes(*exchange,
                   encodeRpc(reader.codec, reader.method, apache::thrift::protocol::T_EXCEPTION,
                             reader.sequence, unknown));
    } catch (const std::exception &exception) {
        replySchemaMismatch(*exchange, exception.what());
    }
}

void RpcServer::replyBytes(HttpExchange &exchange, std::string bytes)
{
    exchange.reply(
        {.headers = {{"content-type", "application/x-thrift"}}, .body = std::move(bytes)});
}

} // namespace sequoiapier
