// Measures, under virtual time and for 2 to 64 members, the time until a version is in force, and
// the messages, bytes and table reads of the configuration followers. In the baseline every member
// reads the table once per poll interval. Bytes are those of the message fields and of the rows
// read, without codec and transport overhead.
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "testing/support/configurationgroup.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t DocumentPadding = 4'000; // bytes, about the size of the present document
constexpr Duration Step = 1ms;
constexpr Duration SettleTime = 5s;
constexpr Duration MeasuredTime = 60s;
constexpr int VersionCount = 12; // one per 5 s

enum class Variant {
    EachPollsTable,
    Pull, // members pull from table readers and peers
    PushAndPull,
};

struct Measurements
{
    double worstInForceMs = 0;
    double meanInForceMs = 0;
    double readsPerSecond = 0;
    double messagesPerSecond = 0; // per member
    double bytesPerSecond = 0; // per member, in messages
    double tableBytesPerSecond = 0; // per member, in rows read
    double cpuMicroseconds = 0; // per member and second
};

ConfigurationGroup::Options groupOptions(Variant variant, std::size_t members)
{
    ConfigurationGroup::Options options{.members = members, .padding = DocumentPadding};
    options.pushes = variant == Variant::PushAndPull;
    if (variant == Variant::EachPollsTable) {
        options.readers = members;
        options.follower.peersPerPoll = 0;
    }
    return options;
}

double millisecondsUntilInForce(ConfigurationGroup &group)
{
    const TimePoint start = group.time().now();
    while (group.currentCount() < group.size() && group.time().now() - start < SettleTime)
        group.run(Step);
    return std::chrono::duration<double, std::milli>(group.time().now() - start).count();
}

Measurements measure(Variant variant, std::size_t members)
{
    ConfigurationGroup group(groupOptions(variant, members));
    group.commitKeys({"key"});
    group.run(SettleTime);
    const std::uint64_t reads = group.table().readCount();
    const std::uint64_t messages = group.messages();
    const std::uint64_t bytes = group.bytes();
    const TimePoint start = group.time().now();
    const std::clock_t cpuStart = std::clock();
    Measurements measurements;
    for (int version = 0; version < VersionCount; ++version) {
        // Spreads the commits over different phases of the poll interval.
        group.run(Duration(37ms) * version);
        group.commitKeys({"key", "key-" + std::to_string(version)});
        const double inForceMs = millisecondsUntilInForce(group);
        measurements.worstInForceMs = std::max(measurements.worstInForceMs, inForceMs);
        measurements.meanInForceMs += inForceMs / VersionCount;
        group.run(start + MeasuredTime * (version + 1) / VersionCount - group.time().now());
    }
    const double seconds = std::chrono::duration<double>(group.time().now() - start).count();
    const double memberSeconds = seconds * double(members);
    measurements.readsPerSecond = double(group.table().readCount() - reads) / seconds;
    measurements.messagesPerSecond = double(group.messages() - messages) / memberSeconds;
    measurements.bytesPerSecond = double(group.bytes() - bytes) / memberSeconds;
    measurements.tableBytesPerSecond = measurements.readsPerSecond / double(members)
        * double(group.follower(0).document().size());
    measurements.cpuMicroseconds
        = double(std::clock() - cpuStart) / CLOCKS_PER_SEC * 1e6 / memberSeconds;
    return measurements;
}

std::string nameOf(Variant variant)
{
    switch (variant) {
    case Variant::EachPollsTable:
        return "each polls the table";
    case Variant::Pull:
        return "readers and peers";
    case Variant::PushAndPull:
        return "push, readers and peers";
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    Report report("configuration", argc, argv);
    std::vector<ChartSeries> inForceSeries;
    std::vector<ChartSeries> readSeries;
    for (const Variant variant : {Variant::EachPollsTable, Variant::Pull, Variant::PushAndPull}) {
        inForceSeries.push_back({nameOf(variant), {}});
        readSeries.push_back({nameOf(variant), {}});
        for (const std::size_t members : {2, 4, 8, 16, 32, 64}) {
            const Measurements measurements = measure(variant, members);
            report.add(nameOf(variant) + ", members=" + std::to_string(members),
                       {{"force_worst_ms", measurements.worstInForceMs},
                        {"force_mean_ms", measurements.meanInForceMs},
                        {"table_reads_per_s", measurements.readsPerSecond},
                        {"messages_per_member_s", measurements.messagesPerSecond},
                        {"bytes_per_member_s", measurements.bytesPerSecond},
                        {"table_bytes_per_member_s", measurements.tableBytesPerSecond},
                        {"cpu_us_per_member_s", measurements.cpuMicroseconds}});
            inForceSeries.back().points.push_back({double(members), measurements.worstInForceMs});
            readSeries.back().points.push_back({double(members), measurements.readsPerSecond});
        }
    }
    writeSvgChart(report.outputPath("configuration-force.svg"),
                  {"Time to force a version", "members", "worst of 12 [ms]"}, inForceSeries);
    writeSvgChart(report.outputPath("configuration-reads.svg"),
                  {"Table reads", "members", "reads a second"}, readSeries);
    return report.finish();
}
