#include "controller/operatorapi.h"

#include "controller/operatoredit.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxOperationIdBytes = 128;

api::ChangeAnswer toAnswer(const ChangeOutcome &outcome)
{
    api::ChangeAnswer answer;
    answer.code = int(outcome.code);
    answer.detail = outcome.detail;
    answer.version = std::int64_t(outcome.version);
    return answer;
}

// Converts the answer of change() or edit() to a callback for the ChangeAnswer.
template<typename ResultStruct>
std::function<void(const api::ChangeAnswer &)> toCallback(RpcServer::Answer<ResultStruct> answer)
{
    return [answer = std::move(answer)](const api::ChangeAnswer &change) {
        ResultStruct result;
        result.success = change;
        result.__isset.success = true;
        answer(result);
    };
}

template<typename Request>
ChangeSpec toSpec(const Request &request)
{
    return {.operationId = request.operationId,
            .baseVersion = std::uint64_t(request.baseVersion),
            .isNewId = request.isNewId};
}

Result<Configuration> buildDocument(const std::string &document, std::uint64_t baseVersion)
{
    Result<Configuration> parsed = parseConfiguration(document, baseVersion);
    if (!parsed)
        return Error{ResultCode::ChangeInvalid, parsed.error().detail};
    return parsed;
}

Result<Configuration> buildEdit(const api::Edit &edit, const Configuration *base)
{
    const Result<ConfigurationEdit> change = toConfigurationEdit(edit);
    if (!change)
        return change.error();
    return applyEdit(base != nullptr ? *base : Configuration{}, change.value());
}

} // namespace

OperatorApi::OperatorApi(OperatorChange::Hooks hooks, CommittedHook onCommitted)
    : m_hooks(std::move(hooks))
    , m_onCommitted(std::move(onCommitted))
{
    m_rpc.add<api::OperatorService_configuration_args, api::OperatorService_configuration_result>(
        "configuration",
        [this](const auto &, const ConfigurationCallback &answer) { readConfiguration(answer); });
    m_rpc.add<api::OperatorService_change_args, api::OperatorService_change_result>(
        "change", [this](const auto &args, auto answer) {
            ChangeSpec spec = toSpec(args.request);
            spec.build = [document = args.request.document, base = spec.baseVersion](
                             const Configuration *) { return buildDocument(document, base); };
            change(std::move(spec), toCallback(std::move(answer)));
        });
    m_rpc.add<api::OperatorService_edit_args, api::OperatorService_edit_result>(
        "edit", [this](const auto &args, auto answer) {
            ChangeSpec spec = toSpec(args.request);
            spec.build = [edit = args.request.edit](const Configuration *base) {
                return buildEdit(edit, base);
            };
            change(std::move(spec), toCallback(std::move(answer)));
        });
}

void OperatorApi::readConfiguration(const ConfigurationCallback &answer)
{
    m_hooks.table.read(ConfigurationKey, m_hooks.now() + m_hooks.tableTimeout,
                       [answer](const Result<std::optional<TableRow>> &row) {
                           api::OperatorService_configuration_result result;
                           result.__isset.success = true;
                           if (!row) {
                               result.success.code = int(row.error().code);
                               result.success.detail = row.error().detail;
                           } else if (row.value()) {
                               result.success.version = std::int64_t(row.value()->version);
                               result.success.document = row.value()->value;
                           }
                           answer(result);
                       });
}

void OperatorApi::change(ChangeSpec spec, std::function<void(const api::ChangeAnswer &)> answer)
{
    if (spec.operationId.empty() || spec.operationId.size() > MaxOperationIdBytes) {
        answer(toAnswer(
            {.code = ResultCode::ChangeInvalid, .detail = "operationId must have 1 to 128 bytes"}));
        return;
    }
    const std::string operationId = spec.operationId;
    OperatorChange::run(m_hooks, std::move(spec),
                        [this, operationId, answer = std::move(answer)](const auto &outcome) {
                            if (outcome.code == ResultCode::Committed)
                                m_onCommitted(operationId, outcome.version);
                            answer(toAnswer(outcome));
                        });
}

} // namespace sequoiapier
