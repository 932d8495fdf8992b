// TableStandin simulates the platform's table service over Thrift, with its rows in memory. GET
// /record returns the number of calls by method.
#pragma once

#include "cli/daemon.h"
#include "gen/TableService.h"
#include "net/rpcserver.h"
#include "testing/standin/faults.h"
#include "testing/standin/memorytable.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

class TableStandin
{
public:
    explicit TableStandin(Daemon &daemon);

private:
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void addMethods();
    void count(const char *call);

    Daemon &m_daemon;
    MemoryTable m_table;
    Faults m_faults;
    nlohmann::json m_record; // Number of calls by method.
    RpcServer m_rpc;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    // Kept open without an answer.
    std::vector<RpcServer::Answer<api::TableService_commit_result>> m_lostCommits;
    std::vector<std::unique_ptr<Timer>> m_delays;
};

} // namespace sequoiapier
