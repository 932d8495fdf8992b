#include "peer/peerwire.h"

namespace sequoiapier {

api::HybridTimestamp toWire(HybridTime time)
{
    api::HybridTimestamp wire;
    wire.wallMicroseconds = time.wallMicroseconds;
    wire.counter = std::int32_t(time.counter);
    return wire;
}

HybridTime fromWire(const api::HybridTimestamp &time)
{
    return {time.wallMicroseconds, std::uint32_t(time.counter)};
}

api::PollMessage toWire(const ConfigurationPoll &poll)
{
    api::PollMessage wire;
    wire.token = poll.token;
    wire.incarnation = std::int64_t(poll.incarnation);
    wire.version = std::int64_t(poll.version);
    return wire;
}

ConfigurationPoll fromWire(const api::PollMessage &poll)
{
    return {.token = poll.token,
            .incarnation = std::uint64_t(poll.incarnation),
            .version = std::uint64_t(poll.version)};
}

api::ReportMessage toWire(const ConfigurationReport &report)
{
    api::ReportMessage wire;
    wire.token = report.token;
    wire.incarnation = std::int64_t(report.incarnation);
    wire.sender = report.sender;
    wire.senderIncarnation = std::int64_t(report.senderIncarnation);
    wire.version = std::int64_t(report.version);
    wire.seenVersion = std::int64_t(report.seenVersion);
    if (report.confirmedAge)
        wire.__set_confirmedAgeMicroseconds(report.confirmedAge->count());
    wire.canVouch = report.canVouch;
    wire.document = report.document;
    for (const WithdrawalNotice &notice : report.notices)
        wire.notices.push_back(toWire(notice));
    return wire;
}

ConfigurationReport fromWire(const api::ReportMessage &report)
{
    ConfigurationReport result{.token = report.token,
                               .incarnation = std::uint64_t(report.incarnation),
                               .sender = report.sender,
                               .senderIncarnation = std::uint64_t(report.senderIncarnation),
                               .version = std::uint64_t(report.version),
                               .seenVersion = std::uint64_t(report.seenVersion),
                               .canVouch = report.canVouch,
                               .document = report.document};
    if (report.__isset.confirmedAgeMicroseconds)
        result.confirmedAge = Duration(report.confirmedAgeMicroseconds);
    for (const api::WithdrawalMessage &notice : report.notices)
        result.notices.push_back(fromWire(notice));
    return result;
}

api::WithdrawalMessage toWire(const WithdrawalNotice &notice)
{
    api::WithdrawalMessage wire;
    wire.digest = notice.digest;
    wire.remainingMicroseconds = notice.remaining.count();
    return wire;
}

WithdrawalNotice fromWire(const api::WithdrawalMessage &notice)
{
    return {.digest = notice.digest, .remaining = Duration(notice.remainingMicroseconds)};
}

api::LoanReportMessage toWire(const LoanReport &report)
{
    api::LoanReportMessage wire;
    wire.resource = report.resource;
    wire.borrower = report.borrower.name;
    wire.incarnation = std::int64_t(report.borrower.incarnation);
    wire.sequence = std::int64_t(report.sequence);
    wire.epoch = std::int64_t(report.epoch);
    wire.held = report.held;
    wire.inUse = report.inUse;
    wire.wanted = report.wanted;
    wire.weight = std::int32_t(report.weight);
    wire.accepted = std::int64_t(report.accepted);
    wire.servedMicroseconds = report.servedMicroseconds;
    return wire;
}

LoanReport fromWire(const api::LoanReportMessage &report)
{
    return {.resource = report.resource,
            .borrower = {report.borrower, std::uint64_t(report.incarnation)},
            .sequence = std::uint64_t(report.sequence),
            .epoch = std::uint64_t(report.epoch),
            .held = report.held,
            .inUse = report.inUse,
            .servedMicroseconds = report.servedMicroseconds,
            .wanted = report.wanted,
            .weight = std::uint32_t(report.weight),
            .accepted = std::uint64_t(report.accepted)};
}

api::LoanGrantMessage toWire(const LoanGrant &grant)
{
    api::LoanGrantMessage wire;
    wire.resource = grant.resource;
    wire.sequence = std::int64_t(grant.sequence);
    wire.epoch = std::int64_t(grant.epoch);
    wire.amount = grant.amount;
    wire.termMilliseconds = grant.termMilliseconds;
    wire.code = std::int32_t(grant.code);
    wire.isContended = grant.isContended;
    return wire;
}

LoanGrant fromWire(const api::LoanGrantMessage &grant)
{
    return {.resource = grant.resource,
            .sequence = std::uint64_t(grant.sequence),
            .epoch = std::uint64_t(grant.epoch),
            .amount = grant.amount,
            .termMilliseconds = grant.termMilliseconds,
            .isContended = grant.isContended,
            .code = ResultCode(grant.code)};
}

} // namespace sequoiapier
