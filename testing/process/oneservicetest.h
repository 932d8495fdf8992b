// OneServiceTest is a fixture with a table, a controller, a scheduler, a runner and a gateway. One
// service "prices" has a keyed queue of the same name. The key is "key".
#pragma once

#include "testing/process/testname.h"
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>

namespace sequoiapier {

class OneServiceTest : public testing::Test
{
protected:
    OneServiceTest()
        : m_system(testName())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startTable());
        ASSERT_TRUE(m_system.startRunner("runner-1"));
        ASSERT_TRUE(m_system.startController("controller-1"));
        ASSERT_TRUE(m_system.startScheduler("scheduler-1"));
        ASSERT_TRUE(m_system.startGateway("gateway-1", gatewayFlags()));
        startAdditionalProcesses();
        ASSERT_EQ(m_system.applyConfiguration(toJson(configuration()), 0, "first"), 0)
            << m_system.output();
        ASSERT_TRUE(m_system.waitReady("gateway-1"));
    }

    virtual std::vector<std::string> gatewayFlags() const { return {}; }

    // Starts the additional processes of a derived fixture before the configuration is applied.
    virtual void startAdditionalProcesses() { }

    virtual Configuration configuration()
    {
        Configuration configuration;
        configuration.teams = {{.name = "pricing"}};
        configuration.keys = {{.digest = keyDigest("key"), .team = "pricing"}};
        configuration.services = {
            {.name = "prices", .runners = {{"127.0.0.1", m_system.member("runner-1").workPort}}}};
        configuration.queues = {{.name = "prices", .service = "prices"}};
        return configuration;
    }

    LocalSystem &system() { return m_system; }

private:
    LocalSystem m_system;
};

} // namespace sequoiapier
