// The YAML file with the plans of classes for queries in two phases (docs/two-phases.md describes every key).
#pragma once

#include <cometdeal/aggregator.hpp>
#include <string>
#include <vector>

#include "core/settings.hpp"

namespace cometdeal::net {

// `name` stands for the file in errors. Both throw ConfigError with file, line and column.
QueryPlans readPlans(const std::string& text, const std::string& name,
                     const std::vector<std::string>& classNames, const std::vector<ClassSettings>& classes);
QueryPlans readPlansFile(const std::string& path, const std::vector<std::string>& classNames,
                         const std::vector<ClassSettings>& classes);

}  // namespace cometdeal::net
