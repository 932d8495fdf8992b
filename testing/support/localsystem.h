// LocalSystem: a whole system in separate processes on loopback, for process tests and the demo.
//
//   LocalSystem system("kill-gateway");
//   system.startTable();
//   system.startRunner("runner-1");
//   ASSERT_TRUE(system.waitReady("gateway-1"));
//
// Logs go to a directory under the build tree, one file per process. Every wait is
// for a condition, never for a fixed time.
#pragma once

#include "net/httpcall.h"
#include "sequoiapier/configuration.h"
#include "testing/support/childprocess.h"

#include <map>
#include <string>
#include <vector>

namespace sequoiapier {

struct Member
{
    std::uint16_t adminPort = 0;
    std::uint16_t workPort = 0; // port for callers or for work; 0 if it has none
    std::uint16_t readyPort = 0; // port of a node's readiness address; 0 if it has none
    std::vector<std::string> arguments; // command line that started it
    ChildProcess process;
};

class LocalSystem
{
public:
    static constexpr std::chrono::milliseconds Timeout{10'000};

    explicit LocalSystem(std::string name);

    // These start a process and wait until it listens; false if it does not within Timeout.
    bool startTable();
    // Starts the platform's host interface for these hosts. Controllers started later use it.
    bool startHosts(const std::string &names, const std::vector<std::string> &flags = {});
    bool startTasks(const std::vector<std::string> &flags = {})
    {
        return startStandin("tasks", flags);
    }
    bool startLiveList(const std::vector<std::string> &flags = {})
    {
        return startStandin("livelist", flags);
    }
    bool startRunner(const std::string &name, const std::vector<std::string> &flags = {});
    bool startGateway(const std::string &name, const std::vector<std::string> &flags = {});
    bool startScheduler(const std::string &name, const std::vector<std::string> &flags = {});
    bool startController(const std::string &name, const std::vector<std::string> &flags = {});
    // Starts a stand-in of the users' platform with hosts in these pools: "vanload:3,sundries:1".
    // Each of `linkedNodes` reaches it by a port of its own.
    bool startPlatform(const std::string &pools, int hosts, int processors = 8,
                       const std::vector<std::string> &linkedNodes = {});
    // Writes a row as the platform's operator; returns the status.
    int writeOperatorRow(const std::string &key, const std::string &json) const;
    // Configures the queue "/quotes/" on the pool "vanload", the spare pool "sundries", and a team
    // with the key "good-key".
    bool configureOneQueue() const;
    // Sets the field "bounds" in the settings of the nodes that are started from now on.
    void setBounds(std::string json) { m_bounds = std::move(json); }
    // Sets the field "limits" in the settings of the nodes that are started from now on.
    void setLimits(std::string json) { m_limits = std::move(json); }
    // Starts a node on that platform.
    bool startNode(const std::string &name);

    // Kills `name` if it runs and starts it again on the same addresses with `moreFlags`, as
    // another incarnation of the member. Does not wait until it listens.
    void replace(const std::string &name, const std::vector<std::string> &moreFlags = {});
    bool waitListening(const std::string &name) const;
    bool waitReady(const std::string &name);
    Member &member(const std::string &name) { return m_members.at(name); }
    bool hasMember(const std::string &name) const { return m_members.contains(name); }
    void forget(const std::string &name) { m_members.erase(name); }
    std::vector<std::string> memberNames() const;
    const std::string &directory() const { return m_directory; }

    // Calls an HTTP server on loopback and waits until the call ends.
    HttpAnswer call(std::uint16_t port, HttpRequest request,
                    std::chrono::milliseconds timeout = Timeout) const;
    HttpAnswer fetch(const std::string &name, const std::string &path) const;
    bool setFaults(const std::string &name, const std::string &document) const;
    // Posts a document to a stand-in's admin port; false if it is refused.
    bool post(const std::string &name, const std::string &path, const std::string &document) const;

    // Sends a caller's request to a gateway. Headers may override the defaults.
    HttpAnswer work(const std::string &gateway, const std::string &queue, const std::string &key,
                    const std::string &body, std::vector<HttpHeader> headers = {}) const;

    // Runs `sequoiapier ctl` and returns its exit status; its output is in output().
    int ctl(const std::vector<std::string> &arguments);
    // Runs `sequoiapier ctl` against one controller.
    int ctlAt(const std::string &controller, const std::vector<std::string> &arguments);
    // Runs one command against several controllers concurrently and returns the outputs.
    std::vector<std::string>
    ctlAtOnce(const std::vector<std::pair<std::string, std::vector<std::string>>> &commands) const;
    // Runs `sequoiapier timeline` over all members.
    int timeline();
    const std::string &output() const { return m_output; }

    // Writes `document` through ctl as the successor of `baseVersion`.
    int applyConfiguration(const std::string &document, std::uint64_t baseVersion,
                           const std::string &operationId);

    // Polls `condition` until it holds; false if it does not within `timeout`.
    static bool waitUntil(const std::function<bool()> &condition,
                          std::chrono::milliseconds timeout = Timeout);

private:
    bool startStandin(const std::string &kind, const std::vector<std::string> &flags);
    bool start(const std::string &name, std::vector<std::string> arguments, std::uint16_t workPort);
    bool startRole(const std::string &role, const std::string &name,
                   std::vector<std::string> arguments, const std::vector<std::string> &flags,
                   std::uint16_t workPort);
    std::string endpointOf(const std::string &name) const;
    int runTool(const std::vector<std::string> &arguments);

    std::string m_directory;
    std::map<std::string, Member> m_members;
    std::map<std::string, std::uint16_t> m_links; // the platform's ports for single nodes
    std::string m_bounds = "{}"; // JSON
    std::string m_limits = "{}"; // JSON
    std::string m_output;
};

} // namespace sequoiapier
