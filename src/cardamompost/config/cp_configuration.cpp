#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/policy/cp_policy_registry.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr std::int64_t maxTokens = 1'000'000'000;
constexpr std::int64_t maxMilliseconds = 86'400'000;
constexpr std::size_t keyHashLength = 64;
constexpr std::size_t maxNameLength = 64;
constexpr std::string_view defaultQueuePolicy = "least-attained-service";
constexpr std::string_view defaultPlacementPolicy = "warm-detour";

template<typename Map>
const typename Map::mapped_type *findIn(const Map &map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

bool isName(std::string_view name)
{
    const auto allowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), allowed);
}

bool isKeyHash(std::string_view text)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == keyHashLength && std::all_of(text.begin(), text.end(), isHex);
}

} // namespace

const std::map<std::string, std::vector<std::string>, std::less<>> &configurationKeys()
{
    static const std::map<std::string, std::vector<std::string>, std::less<>> keys {
        {"class", {"rank", "deadline_ms"}},
        {"deployment", {"model", "classes", "queue_limit", "queue_policy", "placement_policy"}},
        {"replica", {"deployment", "address", "failure_domain", "checks_fencing", "slots"}},
        {"service", {"addresses", "timeout_ms"}},
        {"caller",
         {"key_sha256", "deployments", "classes", "services", "calls_per_second", "concurrent_calls",
          "program_budget_tokens"}},
        {"operator", {"key_sha256"}},
    };
    return keys;
}

//! Builds a Configuration: reads each section, then checks the references between them.
class ConfigurationReader
{
public:
    explicit ConfigurationReader(const IniDocument &document)
        : errors_(document.errors())
    {
        for (const IniSection &section : document.sections()) {
            readSection(section);
        }
        attachReplicas();
        checkReferences(document);
    }

    Configuration::ParseResult takeResult()
    {
        std::stable_sort(errors_.begin(), errors_.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
        return {std::move(out_), std::move(errors_)};
    }

private:
    void readSection(const IniSection &section)
    {
        if (!configurationKeys().contains(section.kind)) {
            errors_.push_back(
                {section.line, section.header(), {}, fmt::format("'{}' is not a kind of section", section.kind)});
            return;
        }
        if (!isName(section.name)) {
            errors_.push_back({section.line,
                               section.header(),
                               {},
                               "the section needs a name of at most 64 letters, digits, '-', '_', '.' and '/'"});
            return;
        }
        if (!headers_.insert(section.header()).second) {
            errors_.push_back({section.line, section.header(), {}, "duplicate section"});
            return;
        }
        SectionReader reader(section, errors_);
        readKind(section, reader);
        reader.finish();
    }

    void readKind(const IniSection &section, SectionReader &reader)
    {
        if (section.kind == "class") {
            readClass(section.name, reader);
        } else if (section.kind == "deployment") {
            readDeployment(section.name, reader);
        } else if (section.kind == "replica") {
            readReplica(section.name, reader);
        } else if (section.kind == "service") {
            readService(section.name, reader);
        } else if (section.kind == "caller") {
            readCaller(section.name, reader);
        } else {
            OperatorAccount account {section.name, readKeyHash(reader)};
            out_.operatorByKeyHash_[account.keyHash] = section.name;
            out_.operators_.emplace(section.name, std::move(account));
        }
    }

    void readClass(const std::string &name, SectionReader &reader)
    {
        WorkClass workClass {name, static_cast<int>(reader.integer("rank", 0, 0, 1000)),
                             Milliseconds(reader.integer("deadline_ms", 600'000, 1, maxMilliseconds))};
        out_.classes_.emplace(name, std::move(workClass));
    }

    void readDeployment(const std::string &name, SectionReader &reader)
    {
        Deployment deployment;
        deployment.name = name;
        deployment.model = reader.requiredText("model");
        deployment.classes = reader.list("classes");
        deployment.queueLimit = static_cast<int>(reader.integer("queue_limit", 1024, 1, 1'000'000));
        deployment.queuePolicy
            = readChoice(reader, "queue_policy", defaultQueuePolicy, PolicyRegistry::instance().queuePolicyNames());
        deployment.placementPolicy = readChoice(reader, "placement_policy", defaultPlacementPolicy,
                                                PolicyRegistry::instance().placementPolicyNames());
        if (deployment.classes.empty()) {
            reader.addError("classes", "at least one class is required");
        }
        out_.deployments_.emplace(name, std::move(deployment));
    }

    void readReplica(const std::string &name, SectionReader &reader)
    {
        Replica replica;
        replica.name = name;
        replica.deployment = reader.requiredText("deployment");
        replica.address = reader.address("address");
        replica.failureDomain = reader.requiredText("failure_domain");
        replica.checksFencing = reader.boolean("checks_fencing", false);
        replica.slots = static_cast<int>(reader.integer("slots", 8, 1, 100'000));
        replicas_.push_back(std::move(replica));
    }

    void readService(const std::string &name, SectionReader &reader)
    {
        Service service {name, {}, Milliseconds(reader.integer("timeout_ms", 30'000, 1, maxMilliseconds))};
        for (const std::string &item : reader.list("addresses")) {
            if (const auto address = parseAddress(item)) {
                service.addresses.push_back(*address);
            } else {
                reader.addError("addresses", fmt::format("'{}' is not an IP address with a port", item));
            }
        }
        if (service.addresses.empty()) {
            reader.addError("addresses", "at least one address is required");
        }
        out_.services_.emplace(name, std::move(service));
    }

    void readCaller(const std::string &name, SectionReader &reader)
    {
        Caller caller;
        caller.name = name;
        caller.keyHash = readKeyHash(reader);
        caller.deployments = reader.list("deployments");
        caller.classes = reader.list("classes");
        caller.services = reader.list("services");
        caller.callsPerSecond = reader.number("calls_per_second", 1000, 0.001, 1e6);
        caller.concurrentCalls = static_cast<int>(reader.integer("concurrent_calls", 10'000, 1, 1'000'000));
        caller.programBudgetTokens = reader.integer("program_budget_tokens", 1'000'000, 1, maxTokens);
        out_.callerByKeyHash_[caller.keyHash] = name;
        out_.callers_.emplace(name, std::move(caller));
    }

    std::string readChoice(SectionReader &reader, std::string_view key, std::string_view fallback,
                           const std::vector<std::string> &known)
    {
        std::string value = reader.text(key, fallback);
        if (std::find(known.begin(), known.end(), value) == known.end()) {
            reader.addError(key, fmt::format("'{}' is not one of: {}", value, fmt::join(known, ", ")));
        }
        return value;
    }

    std::string readKeyHash(SectionReader &reader)
    {
        std::string hash = reader.requiredText("key_sha256");
        if (hash.empty()) {
            return hash;
        }
        if (!isKeyHash(hash)) {
            reader.addError("key_sha256", "expected 64 lower-case hexadecimal digits");
        } else if (!keyHashes_.insert(hash).second) {
            reader.addError("key_sha256", "another account has the same key");
        }
        return hash;
    }

    void attachReplicas()
    {
        for (Replica &replica : replicas_) {
            const auto deployment = out_.deployments_.find(replica.deployment);
            if (deployment != out_.deployments_.end()) {
                deployment->second.replicas.push_back(std::move(replica));
            }
        }
    }

    void checkReferences(const IniDocument &document)
    {
        for (const IniSection &section : document.sections()) {
            checkReference(section, "deployment", out_.deployments_);
            checkReference(section, "deployments", out_.deployments_);
            checkReference(section, "classes", out_.classes_);
            checkReference(section, "services", out_.services_);
        }
    }

    template<typename Map>
    void checkReference(const IniSection &section, std::string_view key, const Map &known)
    {
        const IniEntry *entry = section.find(key);
        if (entry == nullptr) {
            return;
        }
        for (const std::string &name : splitList(entry->value)) {
            if (!known.contains(name)) {
                errors_.push_back(
                    {entry->line, section.header(), entry->key, fmt::format("'{}' is not declared", name)});
            }
        }
    }

    Configuration out_;
    std::vector<ConfigError> errors_;
    std::vector<Replica> replicas_;
    std::set<std::string> headers_;
    std::set<std::string> keyHashes_;
};

Configuration::ParseResult Configuration::parse(std::string_view text)
{
    return ConfigurationReader(IniDocument::parse(text)).takeResult();
}

const WorkClass *Configuration::findClass(std::string_view name) const
{
    return findIn(classes_, name);
}

const Deployment *Configuration::findDeployment(std::string_view name) const
{
    return findIn(deployments_, name);
}

const Deployment *Configuration::findModel(std::string_view model, const Caller &caller) const
{
    for (const std::string &name : caller.deployments) {
        const Deployment *deployment = findDeployment(name);
        if (deployment != nullptr && (deployment->model == model || deployment->name == model)) {
            return deployment;
        }
    }
    return nullptr;
}

const Service *Configuration::findService(std::string_view name) const
{
    return findIn(services_, name);
}

const Caller *Configuration::findCaller(std::string_view name) const
{
    return findIn(callers_, name);
}

const Caller *Configuration::callerByKey(std::string_view bearerKey) const
{
    const auto found = callerByKeyHash_.find(sha256Hex(bearerKey));
    return found == callerByKeyHash_.end() ? nullptr : findCaller(found->second);
}

const OperatorAccount *Configuration::operatorByKey(std::string_view bearerKey) const
{
    const auto found = operatorByKeyHash_.find(sha256Hex(bearerKey));
    return found == operatorByKeyHash_.end() ? nullptr : findIn(operators_, found->second);
}

} // namespace cardamompost
