// RpcClient: makes Thrift calls over HTTP POST.
//
//   rpc.call<TableService_read_args, TableService_read_result>(
//       endpoint, "/table", "read", args, deadline, [](RpcAnswer<TableService_read_result> a) {});
#pragma once

#include "net/endpoint.h"
#include "net/httpclient.h"
#include "net/rpcmessage.h"

#include <memory>

namespace sequoiapier {

template<typename Reply>
struct RpcAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent; // Answered only if there is a valid reply
    std::shared_ptr<Reply> reply; // null unless `outcome` is Answered
    std::string detail; // reason why there is no reply
};

class RpcClient
{
public:
    explicit RpcClient(HttpClient &http)
        : m_http(http)
    { }

    template<typename Args, typename Reply>
    void call(const Endpoint &endpoint, std::string path, std::string method, const Args &args,
              TimePoint deadline, std::function<void(RpcAnswer<Reply>)> callback)
    {
        HttpCall call{.address = endpoint.address, .port = endpoint.port, .deadline = deadline};
        call.request = {.method = "POST",
                        .path = std::move(path),
                        .headers = {{"content-type", "application/x-thrift"}},
                        .body = encodeRpc(RpcCodec::Compact, method,
                                          apache::thrift::protocol::T_CALL, ++m_sequence, args)};
        m_http.call(
            std::move(call),
            [method = std::move(method), callback = std::move(callback)](const HttpAnswer &answer) {
                RpcAnswer<Reply> result{.outcome = answer.outcome};
                if (answer.outcome != HttpOutcome::Answered) {
                    result.detail = answer.timedOut ? "timeout" : "connection failed";
                    callback(std::move(result));
                    return;
                }
                auto reply = std::make_shared<Reply>();
                const Result<void> decoded = decodeRpcReply(method, answer.response.body, *reply);
                if (decoded) {
                    result.reply = std::move(reply);
                } else {
                    // The server received the request, but may or may not have acted on it.
                    result.outcome = HttpOutcome::Lost;
                    result.detail = "status " + std::to_string(answer.response.status) + ": "
                        + decoded.error().detail;
                }
                callback(std::move(result));
            });
    }

private:
    HttpClient &m_http;
    std::int32_t m_sequence = 0;
};

} // namespace sequoiapier
