#include "testing/support/localsystem.h"

#include "cli/blockingcall.h"
#include "testing/support/freeport.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace sequoiapier {

namespace {

constexpr const char *Loopback = "127.0.0.1";
std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

LocalSystem::LocalSystem(std::string name)
    : m_directory(std::filesystem::path(SEQUOIAPIER_BINARY).parent_path() / "test-logs"
                  / std::move(name))
{
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
}

bool LocalSystem::start(const std::string &name, std::vector<std::string> arguments,
                        std::uint16_t workPort)
{
    const std::uint16_t adminPort = freePort();
    arguments.insert(arguments.end(), {"--name", name, "--port", std::to_string(adminPort)});
    m_members.erase(name);
    m_members.emplace(name,
                      Member{adminPort, workPort, 0, arguments,
                             ChildProcess(arguments, m_directory + "/" + name + ".log")});
    return waitListening(name);
}

void LocalSystem::replace(const std::string &name, const std::vector<std::string> &moreFlags)
{
    Member replaced = std::move(m_members.at(name));
    replaced.process.signal(SIGKILL);
    replaced.process.waitExit(Timeout);
    std::vector<std::string> arguments = replaced.arguments;
    arguments.insert(arguments.end(), moreFlags.begin(), moreFlags.end());
    m_members.erase(name);
    m_members.emplace(name,
                      Member{replaced.adminPort, replaced.workPort, replaced.readyPort,
                             replaced.arguments,
                             ChildProcess(arguments, m_directory + "/" + name + ".log")});
}

bool LocalSystem::waitListening(const std::string &name) const
{
    return waitUntil([&] { return fetch(name, "/healthz").outcome == HttpOutcome::Answered; });
}

bool LocalSystem::startTable()
{
    return startStandin("table", {});
}

bool LocalSystem::startHosts(const std::string &names, const std::vector<std::string> &flags)
{
    std::vector<std::string> arguments{"--hosts", names};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return startStandin("hosts", arguments);
}

bool LocalSystem::startStandin(const std::string &kind, const std::vector<std::string> &flags)
{
    std::vector<std::string> arguments{STANDIN_BINARY, kind};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return start(kind, std::move(arguments), 0);
}

bool LocalSystem::startRunner(const std::string &name, const std::vector<std::string> &flags)
{
    const std::uint16_t port = freePort();
    std::vector<std::string> arguments{STANDIN_BINARY, "runner", "--work-port",
                                       std::to_string(port)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return start(name, std::move(arguments), port);
}

bool LocalSystem::startRole(const std::string &role, const std::string &name,
                            std::vector<std::string> arguments,
                            const std::vector<std::string> &flags, std::uint16_t workPort)
{
    arguments.insert(arguments.begin(), {SEQUOIAPIER_BINARY, role, "--table", endpointOf("table")});
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return start(name, std::move(arguments), workPort);
}

bool LocalSystem::startGateway(const std::string &name, const std::vector<std::string> &flags)
{
    const std::uint16_t port = freePort();
    return startRole("gateway", name, {"--caller-port", std::to_string(port)}, flags, port);
}

bool LocalSystem::startScheduler(const std::string &name, const std::vector<std::string> &flags)
{
    return startRole("scheduler", name, {}, flags, 0);
}

bool LocalSystem::startController(const std::string &name, const std::vector<std::string> &flags)
{
    std::vector<std::string> arguments;
    for (const char *service : {"hosts", "tasks"}) {
        if (hasMember(service))
            arguments.insert(arguments.end(), {std::string("--") + service, endpointOf(service)});
    }
    return startRole("controller", name, std::move(arguments), flags, 0);
}

bool LocalSystem::startPlatform(const std::string &pools, int hosts, int processors,
                                const std::vector<std::string> &linkedNodes)
{
    std::string links;
    const std::vector<std::uint16_t> linkPorts = freePorts(linkedNodes.size());
    for (std::size_t i = 0; i < linkedNodes.size(); ++i) {
        m_links[linkedNodes[i]] = linkPorts[i];
        links += (links.empty() ? "" : ",") + linkedNodes[i] + "=" + std::to_string(linkPorts[i]);
    }
    std::string ports;
    for (const std::uint16_t port : freePorts(std::size_t(hosts)))
        ports += (ports.empty() ? "" : ",") + std::to_string(port);
    return startStandin("platform",
                        {"--pools", pools, "--runner-ports", ports, "--links", links,
                         "--host-processors", std::to_string(processors)});
}

int LocalSystem::writeOperatorRow(const std::string &key, const std::string &json) const
{
    const nlohmann::json row{{"key", key}, {"value", nlohmann::json::parse(json)}};
    return call(m_members.at("platform").adminPort,
                {.method = "POST", .path = "/operator", .body = row.dump()})
        .response.status;
}

bool LocalSystem::configureOneQueue() const
{
    using nlohmann::json;
    const json route{{"name", "quotes"},     {"host", Loopback},  {"prefix", "/quotes/"},
                     {"service", "vanload"}, {"max_attempts", 3}, {"stretch", 1.6},
                     {"slo_ms", 600},        {"public", false}};
    const json services{{{"name", "vanload"}}, {{"name", "sundries"}, {"standby", true}}};
    const json team{{"name", "drivers"}, {"api_keys", {"good-key"}}};
    const json configuration{{"version", 1},
                             {"routes", json::array({route})},
                             {"services", services},
                             {"tenants", json::array({team})}};
    return writeOperatorRow("config", configuration.dump()) == 200;
}

bool LocalSystem::startNode(const std::string &name)
{
    const std::uint16_t peerPort = freePort();
    const std::uint16_t callerPort = freePort();
    const std::uint16_t readyPort = freePort();
    const auto endpoint
        = [](std::uint16_t port) { return std::string(Loopback) + ":" + std::to_string(port); };
    const auto link = m_links.find(name);
    const std::string platform
        = link != m_links.end() ? endpoint(link->second) : endpointOf("platform");
    const nlohmann::json settings{
        {"node", name},
        {"zone", "zone-1"},
        {"listen", {{"front", endpoint(callerPort)}, {"ready", endpoint(readyPort)}}},
        {"port_range", {peerPort, peerPort}},
        {"platform", {{"addr", platform}}},
        {"cloud", {{"addr", platform}}},
        {"recommendation", platform},
        {"bounds", nlohmann::json::parse(m_bounds)},
        {"limits", nlohmann::json::parse(m_limits)}};
    const std::string file = m_directory + "/" + name + ".json";
    std::ofstream(file) << settings.dump();
    const std::vector<std::string> arguments{SEQUOIAPIER_BINARY, "node", "--config", file};
    m_members.erase(name);
    m_members.emplace(name,
                      Member{peerPort, callerPort, readyPort, arguments,
                             ChildProcess(arguments, m_directory + "/" + name + ".log")});
    return waitListening(name);
}

std::string LocalSystem::endpointOf(const std::string &name) const
{
    return std::string(Loopback) + ":" + std::to_string(m_members.at(name).adminPort);
}

bool LocalSystem::waitReady(const std::string &name)
{
    return waitUntil([&] { return fetch(name, "/readyz").response.status == 200; });
}

std::vector<std::string> LocalSystem::memberNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members)
        names.push_back(name);
    return names;
}

HttpAnswer LocalSystem::call(std::uint16_t port, HttpRequest request,
                             std::chrono::milliseconds timeout) const
{
    BlockingCall call;
    HttpAnswer result;
    call.run([&] {
        HttpCall httpCall{.address = Loopback, .port = port, .request = std::move(request)};
        httpCall.deadline = BootClock::now() + timeout;
        call.http().call(std::move(httpCall), [&](HttpAnswer answer) {
            result = std::move(answer);
            call.done();
        });
    });
    return result;
}

HttpAnswer LocalSystem::fetch(const std::string &name, const std::string &path) const
{
    return call(m_members.at(name).adminPort, {.method = "GET", .path = path},
                std::chrono::milliseconds(2'000));
}

bool LocalSystem::setFaults(const std::string &name, const std::string &document) const
{
    return post(name, "/faults", document);
}

bool LocalSystem::post(const std::string &name, const std::string &path,
                       const std::string &document) const
{
    return call(m_members.at(name).adminPort, {.method = "POST", .path = path, .body = document})
               .response.status
        == 200;
}

HttpAnswer LocalSystem::work(const std::string &gateway, const std::string &queue,
                             const std::string &key, const std::string &body,
                             std::vector<HttpHeader> headers) const
{
    if (!key.empty())
        headers.push_back({"authorization", "Bearer " + key});
    return call(m_members.at(gateway).workPort,
                {.method = "POST",
                 .path = "/v1/queues/" + queue,
                 .headers = std::move(headers),
                 .body = body});
}

int LocalSystem::runTool(const std::vector<std::string> &arguments)
{
    const std::string log = m_directory + "/tool.log";
    std::filesystem::remove(log);
    ChildProcess process(arguments, log);
    const std::optional<int> status = process.waitExit(Timeout * 2);
    m_output = readFile(log);
    return status.value_or(-1);
}

int LocalSystem::ctl(const std::vector<std::string> &arguments)
{
    for (const auto &[name, member] : m_members) {
        if (name.starts_with("controller"))
            return ctlAt(name, arguments);
    }
    return ctlAt("", arguments);
}

int LocalSystem::ctlAt(const std::string &controller, const std::vector<std::string> &arguments)
{
    std::vector<std::string> commandLine{SEQUOIAPIER_BINARY, "ctl"};
    if (!controller.empty())
        commandLine.insert(commandLine.end(), {"--controller", endpointOf(controller)});
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    return runTool(commandLine);
}

std::vector<std::string> LocalSystem::ctlAtOnce(
    const std::vector<std::pair<std::string, std::vector<std::string>>> &commands) const
{
    const auto logOf
        = [&](std::size_t index) { return m_directory + "/ctl-" + std::to_string(index) + ".log"; };
    std::vector<ChildProcess> processes;
    for (const auto &[controller, arguments] : commands) {
        std::vector<std::string> commandLine{SEQUOIAPIER_BINARY, "ctl", "--controller",
                                             endpointOf(controller)};
        commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
        std::filesystem::remove(logOf(processes.size()));
        processes.emplace_back(commandLine, logOf(processes.size()));
    }
    std::vector<std::string> outputs;
    for (ChildProcess &process : processes) {
        process.waitExit(Timeout * 2);
        outputs.push_back(readFile(logOf(outputs.size())));
    }
    return outputs;
}

int LocalSystem::timeline()
{
    std::string processes;
    for (const auto &[name, member] : m_members) {
        processes += processes.empty() ? "" : ",";
        processes += std::string(Loopback) + ":" + std::to_string(member.adminPort);
    }
    return runTool({SEQUOIAPIER_BINARY, "timeline", "--processes", processes});
}

int LocalSystem::applyConfiguration(const std::string &document, std::uint64_t baseVersion,
                                    const std::string &operationId)
{
    const std::string file = m_directory + "/configuration.json";
    std::ofstream(file) << document;
    return ctl({"apply", file, "--base-version", std::to_string(baseVersion), "--operation-id",
                operationId});
}

bool LocalSystem::waitUntil(const std::function<bool()> &condition,
                            std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

} // namespace sequoiapier
