// Calls a controller on behalf of a ctl command and prints the outcome.
//
//   const auto answer = detail::callOnce<Args, Reply>(settings, OperatorPath, "edit", args);
//   return detail::printChange(settings, answer);
#pragma once

#include "cli/blockingcall.h"
#include "cli/ctlcommand.h"
#include "gen/OperatorService.h"
#include "net/rpcclient.h"

namespace sequoiapier::detail {

// HTTP path at which a controller serves OperatorService.
inline constexpr const char *OperatorPath = "/operator";

struct OperationId
{
    std::string text;
    bool isNew = false;
};

// Returns the identifier of --operation-id, or a new one, which is also printed on standard error.
OperationId operationId(const CtlSettings &settings);

// Calls `method` of the service that the controller serves at `path` and waits for the answer.
template<typename Args, typename Reply>
RpcAnswer<Reply> callOnce(const CtlSettings &settings, const char *path, const std::string &method,
                          const Args &args)
{
    constexpr Duration CallTimeout = std::chrono::seconds(20);
    BlockingCall call;
    RpcClient rpc(call.http());
    RpcAnswer<Reply> answer;
    call.run([&] {
        rpc.call<Args, Reply>(parseEndpoint(settings.controller).value(), path, method, args,
                              BootClock::now() + CallTimeout, [&](RpcAnswer<Reply> reply) {
                                  answer = std::move(reply);
                                  call.done();
                              });
    });
    return answer;
}

// Prints that no answer arrived and returns the exit status.
int printFailure(HttpOutcome outcome, std::string_view detail);

// Prints the outcome of a change and returns the exit status.
int printChange(const CtlSettings &settings, const api::ChangeAnswer &change);

template<typename Reply>
int printChange(const CtlSettings &settings, const RpcAnswer<Reply> &answer)
{
    if (!answer.reply)
        return printFailure(answer.outcome, answer.detail);
    return printChange(settings, answer.reply->success);
}

} // namespace sequoiapier::detail
