// Any message either makes the reader throw a standard exception, which RpcServer answers with
// SchemaMismatch, or is a call that survives a round trip. Decoding a reply never throws.
#include "gen/OperatorService.h"
#include "net/rpcmessage.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;
using Args = api::OperatorService_change_args;

namespace {

void readCall(std::string_view message)
{
    Args args;
    std::string method;
    RpcCodec codec{};
    try {
        detail::RpcReader reader(message);
        args.read(reader.protocol.get());
        method = reader.method;
        codec = reader.codec;
    } catch (const std::exception &) {
        return;
    }
    const std::string serialized
        = encodeRpc(codec, method, apache::thrift::protocol::T_CALL, 1, args);
    detail::RpcReader reader(serialized);
    Args reparsed;
    reparsed.read(reader.protocol.get());
    require(reader.method == method, "the method survives a round trip");
    require(reparsed == args, "the arguments survive a round trip");
}

} // namespace

void sequoiapier::fuzzOne(std::string_view input)
{
    readCall(input);
    api::OperatorService_change_presult reply;
    api::ChangeAnswer answer;
    reply.success = &answer;
    struct Body
    {
        api::OperatorService_change_presult &reply;
        void read(apache::thrift::protocol::TProtocol *protocol) { reply.read(protocol); }
    } body{reply};
    const Result<void> decoded = decodeRpcReply("change", input, body);
    require(decoded || decoded.error().code == ResultCode::SchemaMismatch,
            "a refused reply has the code SchemaMismatch");
}
