// Encodes and decodes Thrift messages as byte strings, for the body of an HTTP POST.
//
// Messages have standard Thrift envelopes, so that any Thrift client with an HTTP transport can
// call these servers. A request in the binary or the compact protocol is answered in the same
// protocol.
#pragma once

#include "sequoiapier/result.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiapier {

enum class RpcCodec : std::uint8_t {
    Binary,
    Compact,
};

namespace detail {

struct RpcReader
{
    explicit RpcReader(std::string_view message);

    RpcCodec codec = RpcCodec::Compact;
    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer;
    std::shared_ptr<apache::thrift::protocol::TProtocol> protocol;
    std::string method;
    apache::thrift::protocol::TMessageType type{};
    std::int32_t sequence = 0;
};

struct RpcWriter
{
    explicit RpcWriter(RpcCodec codec);
    std::string take();

    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer;
    std::shared_ptr<apache::thrift::protocol::TProtocol> protocol;
};

} // namespace detail

// Encodes one message whose body is the Thrift struct `body`.
template<typename Body>
std::string encodeRpc(RpcCodec codec, std::string_view method,
                      apache::thrift::protocol::TMessageType type, std::int32_t sequence,
                      const Body &body)
{
    detail::RpcWriter writer(codec);
    writer.protocol->writeMessageBegin(std::string(method), type, sequence);
    body.write(writer.protocol.get());
    writer.protocol->writeMessageEnd();
    return writer.take();
}

// Decodes the reply to `method` into `body`. Returns SchemaMismatch if `message` is anything else.
// `body` is an output parameter because generated result structs can be neither copied nor moved.
template<typename Body>
Result<void> decodeRpcReply(std::string_view method, std::string_view message, Body &body)
{
    try {
        detail::RpcReader reader(message);
        if (reader.type != apache::thrift::protocol::T_REPLY || reader.method != method)
            return Error{ResultCode::SchemaMismatch, "not a reply to " + std::string(method)};
        body.read(reader.protocol.get());
        return boost::outcome_v2::success();
    } catch (const std::exception &exception) {
        return Error{ResultCode::SchemaMismatch, exception.what()};
    }
}

} // namespace sequoiapier
