#ifndef CARDAMOMPOST_CP_CONFIGURATION_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONFIGURATION_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <map>

namespace cardamompost
{

//! A class of work with its priority and deadline.
struct WorkClass {
    std::string name;
    //! Priority; 0 is the highest.
    int rank = 0;
    //! Longest time from a call's arrival to its final answer.
    Milliseconds deadline {0};
};

//! A backend server that runs the model of a deployment.
struct Replica {
    std::string name;
    std::string deployment;
    Address address;
    std::string failureDomain;
    //! The server rejects requests with an outdated fencing token.
    bool checksFencing = false;
    //! Calls that the server executes concurrently.
    int slots = 1;
};

//! A group of replicas that serve one model to some classes of work.
struct Deployment {
    std::string name;
    std::string model;
    std::vector<std::string> classes;
    //! Calls queued at one owner before those of the lowest priority are shed.
    int queueLimit = 0;
    std::string queuePolicy;
    std::string placementPolicy;
    std::vector<Replica> replicas;
};

//! An HTTP service other than a model engine.
struct Service {
    std::string name;
    std::vector<Address> addresses;
    Milliseconds timeout {0};
};

//! A client account.
struct Caller {
    std::string name;
    //! SHA-256 of the bearer key, lower-case hexadecimal.
    std::string keyHash;
    std::vector<std::string> deployments;
    std::vector<std::string> classes;
    std::vector<std::string> services;
    //! Calls per second over all entry VMs.
    double callsPerSecond = 0;
    //! Concurrent calls on one VM.
    int concurrentCalls = 0;
    //! Maximum number of tokens that one program may spend.
    std::int64_t programBudgetTokens = 0;
};

//! An account that may change the configuration.
struct OperatorAccount {
    std::string name;
    std::string keyHash;
};

//! The operators' configuration document, validated and typed.
class Configuration
{
public:
    struct ParseResult;
    //! Reports all errors at once.
    [[nodiscard]] static ParseResult parse(std::string_view text);

    [[nodiscard]] const WorkClass *findClass(std::string_view name) const;
    [[nodiscard]] const Deployment *findDeployment(std::string_view name) const;
    //! The caller's first deployment with this model or deployment name; null if there is none.
    [[nodiscard]] const Deployment *findModel(std::string_view model, const Caller &caller) const;
    [[nodiscard]] const Service *findService(std::string_view name) const;
    [[nodiscard]] const Caller *findCaller(std::string_view name) const;
    [[nodiscard]] const Caller *callerByKey(std::string_view bearerKey) const;
    [[nodiscard]] const OperatorAccount *operatorByKey(std::string_view bearerKey) const;

    [[nodiscard]] bool hasOperators() const
    {
        return !operators_.empty();
    }
    [[nodiscard]] const std::map<std::string, Deployment, std::less<>> &deployments() const
    {
        return deployments_;
    }
    [[nodiscard]] const std::map<std::string, WorkClass, std::less<>> &classes() const
    {
        return classes_;
    }

private:
    friend class ConfigurationReader;

    std::map<std::string, WorkClass, std::less<>> classes_;
    std::map<std::string, Deployment, std::less<>> deployments_;
    std::map<std::string, Service, std::less<>> services_;
    std::map<std::string, Caller, std::less<>> callers_;
    std::map<std::string, OperatorAccount, std::less<>> operators_;
    std::map<std::string, std::string, std::less<>> callerByKeyHash_;
    std::map<std::string, std::string, std::less<>> operatorByKeyHash_;
};

struct Configuration::ParseResult {
    //! Meaningful only without errors.
    Configuration configuration;
    std::vector<ConfigError> errors;
};

//! The valid keys of each kind of section.
[[nodiscard]] const std::map<std::string, std::vector<std::string>, std::less<>> &configurationKeys();

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONFIGURATION_HPP_INCLUDED
