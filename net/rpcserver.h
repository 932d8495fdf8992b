// RpcServer: dispatches Thrift calls that arrive as HTTP POST requests to handlers, which answer
// synchronously or later.
//
//   rpc.add<OperatorService_change_args, OperatorService_change_result>(
//       "change", [&](const auto &args, auto answer) { answer(result); });
//
// A body that does not match the schema is answered with status 400 and SchemaMismatch in the
// header `x-sequoiapier-code`. An unknown method is answered with a Thrift exception.
#pragma once

#include "net/httpexchange.h"
#include "net/rpcmessage.h"

#include <map>
#include <memory>

namespace sequoiapier {

class RpcServer
{
public:
    template<typename Result>
    using Answer = std::function<void(const Result &)>;

    template<typename Args, typename Result>
    void add(std::string method, std::function<void(const Args &, Answer<Result>)> handler)
    {
        m_methods[method] = [method, handler = std::move(handler)](
                                detail::RpcReader &reader, std::shared_ptr<HttpExchange> exchange) {
            Args args;
            args.read(reader.protocol.get());
            const RpcCodec codec = reader.codec;
            const std::int32_t sequence = reader.sequence;
            handler(args, [method, codec, sequence, exchange](const Result &result) {
                replyBytes(
                    *exchange,
                    encodeRpc(codec, method, apache::thrift::protocol::T_REPLY, sequence, result));
            });
        };
    }

    void serve(const std::shared_ptr<HttpExchange> &exchange) const;

private:
    using Method = std::function<void(detail::RpcReader &, std::shared_ptr<HttpExchange>)>;

    static void replyBytes(HttpExchange &exchange, std::string bytes);

    std::map<std::string, Method, std::less<>> m_methods;
};

} // namespace sequoiapier
