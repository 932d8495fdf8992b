// UsageLearner: estimates the resources that jobs use from reports, since declared sizes may be
// wrong.
//
//   learner.observe("pricing/rebuild", declared, used);
//   Resources estimate = learner.estimate("pricing/rebuild", declared);
//
// A class groups jobs that have something in common, such as team and job name. A class without
// enough reports is estimated from the reports of all classes together. Memory: at most maxClasses
// classes; the least recently observed one is evicted first.
#pragma once

#include "sequoiapier/resources.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sequoiapier {

class UsageLearner
{
public:
    struct Options
    {
        double newestWeight = 0.2; // Weight of the newest report in the moving average, 0 to 1.
        double deviationsAboveMean
            = 1.0; // Standard deviations by which an estimate exceeds the mean.
        double maxFactor = 8; // Largest ratio of estimate to declared size, and of its inverse.
        std::uint32_t minReports = 3; // Reports before a class has its own estimate.
        std::size_t maxClasses = 4096;
    };

    explicit UsageLearner(Options options);

    // Records a report; `declared` and `used` belong to one running job. Cost: O(1).
    void observe(std::string_view jobClass, const Resources &declared, const Resources &used);
    // Accelerators are estimated as declared. Cost: O(1).
    Resources estimate(std::string_view jobClass, const Resources &declared) const;
    bool isLearned(std::string_view jobClass) const;
    std::size_t classCount() const { return m_classes.size(); }

private:
    // Moving average and variance of log(used / declared).
    struct Ratio
    {
        double mean = 0;
        double variance = 0;
    };
    struct Class
    {
        std::string name;
        std::uint32_t reports = 0;
        Ratio processors;
        Ratio memory;
    };

    void update(Class &learned, const Resources &declared, const Resources &used) const;
    void update(Ratio &ratio, double declared, double used, double weight) const;
    double factor(const Ratio &ratio) const;
    Class &findOrAdd(std::string_view jobClass);

    Options m_options;
    std::list<Class> m_classes; // Most recently observed first.
    std::unordered_map<std::string, std::list<Class>::iterator> m_byName;
    Class m_allClasses;
};

} // namespace sequoiapier
