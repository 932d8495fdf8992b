// Ratios of used to declared size are averaged as logarithms, so that errors by a factor of 8 weigh
// the same in both directions. The estimate is the mean plus deviationsAboveMean standard
// deviations, so that a class with varied jobs is estimated higher than one with uniform jobs.
#include "controller/usagelearner.h"

#include <cmath>

namespace sequoiapier {

UsageLearner::UsageLearner(Options options)
    : m_options(options)
{ }

void UsageLearner::observe(std::string_view jobClass, const Resources &declared,
                           const Resources &used)
{
    update(findOrAdd(jobClass), declared, used);
    update(m_allClasses, declared, used);
}

Resources UsageLearner::estimate(std::string_view jobClass, const Resources &declared) const
{
    const auto found = m_byName.find(std::string(jobClass));
    const bool isOwn = found != m_byName.end() && found->second->reports >= m_options.minReports;
    const Class &learned = isOwn ? *found->second : m_allClasses;
    return {.processors = declared.processors * factor(learned.processors),
            .memory = declared.memory * factor(learned.memory),
            .accelerators = declared.accelerators};
}

bool UsageLearner::isLearned(std::string_view jobClass) const
{
    const auto found = m_byName.find(std::string(jobClass));
    return found != m_byName.end() && found->second->reports >= m_options.minReports;
}

void UsageLearner::update(Class &learned, const Resources &declared, const Resources &used) const
{
    ++learned.reports;
    const double weight = std::max(m_options.newestWeight, 1.0 / learned.reports);
    update(learned.processors, declared.processors, used.processors, weight);
    update(learned.memory, declared.memory, used.memory, weight);
}

void UsageLearner::update(Ratio &ratio, double declared, double used, double weight) const
{
    if (declared <= 0 || used <= 0)
        return;
    const double limit = std::log(m_options.maxFactor);
    const double value = std::clamp(std::log(used / declared), -limit, limit);
    const double difference = value - ratio.mean;
    ratio.mean += weight * difference;
    ratio.variance = (1 - weight) * (ratio.variance + weight * difference * difference);
}

double UsageLearner::factor(const Ratio &ratio) const
{
    const double raw
        = std::exp(ratio.mean + m_options.deviationsAboveMean * std::sqrt(ratio.variance));
    return std::clamp(raw, 1 / m_options.maxFactor, m_options.maxFactor);
}

UsageLearner::Class &UsageLearner::findOrAdd(std::string_view jobClass)
{
    const std::string name(jobClass);
    const auto found = m_byName.find(name);
    if (found != m_byName.end()) {
        m_classes.splice(m_classes.begin(), m_classes, found->second);
        return m_classes.front();
    }
    if (m_classes.size() >= m_options.maxClasses) {
        m_byName.erase(m_classes.back().name);
        m_classes.pop_back();
    }
    m_classes.push_front({.name = name});
    m_byName[name] = m_classes.begin();
    return m_classes.front();
}

} // namespace sequoiapier
