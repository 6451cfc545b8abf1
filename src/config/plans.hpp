// The YAML file with the per-class plans of two-phase queries (docs/two-phases.md describes every key).
#pragma once

#include <cometdeal/aggregator.hpp>
#include <string>
#include <vector>

#include "core/settings.hpp"

namespace cometdeal::net {

// `name`: the file name in error messages. Both throw ConfigError with file, line and column.
QueryPlans readPlans(const std::string& text, const std::string& name,
                     const std::vector<std::string>& classNames, const std::vector<ClassSettings>& classes);
QueryPlans readPlansFile(const std::string& path, const std::vector<std::string>& classNames,
                         const std::vector<ClassSettings>& classes);

}  // namespace cometdeal::net
