// Encoded as CBOR arrays in the order of the fields; each step is a nested array.
#include "jobs/jobspec.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <sstream>
#include <utility>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

constexpr int SpecFormat = 1;
// Bound for Unix times, some 3,000 years.
constexpr std::int64_t MaxMilliseconds = 100'000'000'000'000;
constexpr std::size_t SpecFields = 6;
constexpr std::size_t StepFields = 18;

json encodeStep(const StepSpec &step)
{
    return json::array({step.count, step.size.processors, step.size.memory, step.size.accelerators,
                        step.estimateMilliseconds, step.after, step.requiredLabel, step.dataRack,
                        step.image, step.maxPerRunner, step.targetMilliseconds, step.maxUnavailable,
                        step.hasCheckpoints, step.isGang, step.isSameRack, step.isSpeculative,
                        step.isLasting, step.isFilling});
}

StepSpec parseStep(const json &row)
{
    StepSpec step;
    std::size_t field = 0;
    const auto next = [&](auto &target) { row.at(field++).get_to(target); };
    next(step.count);
    next(step.size.processors);
    next(step.size.memory);
    next(step.size.accelerators);
    next(step.estimateMilliseconds);
    next(step.after);
    next(step.requiredLabel);
    next(step.dataRack);
    next(step.image);
    next(step.maxPerRunner);
    next(step.targetMilliseconds);
    next(step.maxUnavailable);
    next(step.hasCheckpoints);
    next(step.isGang);
    next(step.isSameRack);
    next(step.isSpeculative);
    next(step.isLasting);
    next(step.isFilling);
    return step;
}

Error malformed(std::string detail)
{
    return {ResultCode::RequestMalformed, std::move(detail)};
}

} // namespace

Result<void> checkJobSpec(const JobSpec &spec)
{
    if (spec.payload.size() > MaxPayloadBytes)
        return malformed("the payload is longer than " + std::to_string(MaxPayloadBytes)
                         + " bytes");
    if (spec.steps.empty() || spec.steps.size() > MaxSteps)
        return malformed("a job has 1 to " + std::to_string(MaxSteps) + " steps");
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec &step = spec.steps[i];
        const std::string name = "step " + std::to_string(i);
        if (step.count == 0 || step.count > MaxTasksPerStep)
            return malformed(name + " has no tasks or too many");
        if (step.size.processors < 0 || step.size.memory < 0 || step.size.accelerators < 0)
            return malformed(name + " asks for a negative amount");
        if (!isPlausible(step.size))
            return malformed(name + " asks for more than any host has");
        for (const std::uint32_t before : step.after) {
            if (before >= i)
                return malformed(name + " waits for a step that is not before it");
        }
    }
    if (spec.isTimed() && spec.intervalMilliseconds < 0)
        return malformed("the interval between occurrences is negative");
    if (spec.isTimed()
        && (spec.firstDue < 0 || spec.firstDue > MaxMilliseconds
            || spec.intervalMilliseconds > MaxMilliseconds)) {
        return malformed("the times of the occurrences are out of range");
    }
    return boost::outcome_v2::success();
}

std::string summary(const JobSpec &spec)
{
    std::ostringstream text;
    text.precision(3);
    const auto add = [&](bool holds, const auto &...words) {
        if (holds)
            ((text << " ") << ... << words);
    };
    for (const StepSpec &step : spec.steps) {
        text << (&step == spec.steps.data() ? "" : "; ") << step.count << " x "
             << step.size.processors << " cores " << step.size.memory << " GB";
        add(step.size.accelerators > 0, step.size.accelerators, " accelerators");
        for (const std::uint32_t before : step.after)
            add(true, "after ", before);
        add(!step.requiredLabel.empty(), "on ", step.requiredLabel);
        add(!step.dataRack.empty(), "near ", step.dataRack);
        add(!step.image.empty(), "image ", step.image);
        add(step.maxPerRunner > 0, "at most ", step.maxPerRunner, " a runner");
        add(step.targetMilliseconds > 0, "target ", step.targetMilliseconds, " ms");
        add(step.maxUnavailable > 0, "at most ", step.maxUnavailable, " out");
        add(step.hasCheckpoints, "checkpoints");
        add(step.isGang, "gang");
        add(step.isSameRack, "same rack");
        add(step.isSpeculative, "copies");
        add(step.isLasting, "lasting");
        add(step.isFilling, "filling");
    }
    add(spec.isTimed(), spec.times, " times every ", spec.intervalMilliseconds, " ms");
    return text.str();
}

std::string encodeJobSpec(const JobSpec &spec)
{
    json steps = json::array();
    for (const StepSpec &step : spec.steps)
        steps.push_back(encodeStep(step));
    const json document = json::array({SpecFormat, spec.payload, std::move(steps), spec.times,
                                       spec.firstDue, spec.intervalMilliseconds});
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

Result<JobSpec> parseJobSpec(std::string_view bytes)
{
    try {
        // Throws for lengths that exceed the available memory even when exceptions are turned off.
        const json document = parseCbor(bytes);
        if (!document.is_array() || document.size() != SpecFields || document[0] != SpecFormat)
            return Error{ResultCode::RowMalformed, "not a job's specification"};
        JobSpec spec;
        document[1].get_to(spec.payload);
        for (const json &row : document[2]) {
            if (row.size() != StepFields)
                return Error{ResultCode::RowMalformed, "not a step of a job"};
            spec.steps.push_back(parseStep(row));
        }
        document[3].get_to(spec.times);
        document[4].get_to(spec.firstDue);
        document[5].get_to(spec.intervalMilliseconds);
        return spec;
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
}

} // namespace sequoiapier::jobs
