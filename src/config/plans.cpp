#include "plans.hpp"

#include <algorithm>

#include "phases/read_plan.hpp"
#include "yaml.hpp"

namespace cometdeal::net {
namespace {

QueryPlans read(StrictYaml root, const std::vector<std::string>& classNames,
                const std::vector<ClassSettings>& classes) {
  QueryPlans out;
  out.byClass.resize(classNames.size());
  if (auto allowed = root.find("queries_may_plan")) out.allowInQuery = allowed->boolean();
  if (auto list = root.find("classes"))
    for (StrictYaml one : list->list()) {
      const StrictYaml classNode = one.require("class");
      const std::string name = classNode.string();
      const auto at = std::ranges::find(classNames, name);
      if (at == classNames.end()) classNode.fail("unknown class '" + name + "'");
      const std::size_t cls = std::size_t(at - classNames.begin());
      if (out.byClass[cls]) classNode.fail("the class '" + name + "' is listed twice");
      if (classes[cls].secondStepParts > 0)
        classNode.fail("the class '" + name + "' has a second step of its own in the settings");
      out.byClass[cls] = std::make_shared<const phases::Plan>(
          phases::readPlan(one.require("phases"), classes[cls].requiredShare, classes[cls].minimumShare));
      one.rejectUnknownKeys();
    }
  root.rejectUnknownKeys();
  return out;
}

}  // namespace

QueryPlans readPlans(const std::string& text, const std::string& name,
                     const std::vector<std::string>& classNames, const std::vector<ClassSettings>& classes) {
  return read(StrictYaml::fromText(text, name), classNames, classes);
}

QueryPlans readPlansFile(const std::string& path, const std::vector<std::string>& classNames,
                         const std::vector<ClassSettings>& classes) {
  return read(StrictYaml::fromFile(path), classNames, classes);
}

}  // namespace cometdeal::net
