// UsageLearner: what jobs really use, learned from reports, where declared sizes are wrong.
//
//   learner.observe("pricing/rebuild", declared, used);
//   Resources estimate = learner.estimate("pricing/rebuild", declared);
//
// A class is what its jobs have in common, such as team and job name. A class without enough
// reports is estimated by what all classes together show. Memory: at most maxClasses classes; the
// one that was observed longest ago goes first.
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
        double newestWeight = 0.2; // of the newest report in the moving average, 0 to 1
        double deviationsAboveMean
            = 1.0; // standard deviations that an estimate lies above the mean
        double maxFactor = 8; // most by which an estimate differs from the declared size
        std::uint32_t minReports = 3; // before a class is estimated by its own reports
        std::size_t maxClasses = 4096;
    };

    explicit UsageLearner(Options options);

    // `declared` and `used` are of one running job. O(1).
    void observe(std::string_view jobClass, const Resources &declared, const Resources &used);
    // Accelerators are taken as declared. O(1).
    Resources estimate(std::string_view jobClass, const Resources &declared) const;
    bool isLearned(std::string_view jobClass) const;
    std::size_t classCount() const { return m_classes.size(); }

private:
    // Moving average and variance of the logarithm of used over declared.
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
    std::list<Class> m_classes; // newest observation first
    std::unordered_map<std::string, std::list<Class>::iterator> m_byName;
    Class m_allClasses;
};

} // namespace sequoiapier
