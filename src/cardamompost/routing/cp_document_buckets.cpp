#include "cp_bucket_codec.hpp"

#include <cardamompost/routing/cp_document_buckets.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

//! The bucket that has the bounds on callers.
constexpr std::size_t boundsBucket = 0;
// In place of an account's rank.
constexpr std::int64_t noRank = -1;

//! What of a document lies in one bucket.
struct Part {
    std::vector<const Route *> routes;
    std::vector<const BackendService *> services;
    std::vector<const Account *> accounts;
    const CallerBounds *bounds = nullptr;
    bool hasAccounts = false;
};

bool hasSameRules(const Route &left, const Route &right)
{
    const auto rules = [](const Route &route) {
        return std::tie(route.host, route.kind, route.timeout, route.targetLatency, route.rank, route.shares,
                        route.maxAttempts, route.keepsHistory, route.retention, route.isSticky, route.isResumable,
                        route.allowsAnonymous);
    };
    return rules(left) == rules(right);
}

void encodeRules(const Route &route, schema::RouteRules::Builder out)
{
    out.setHost(toText(route.host));
    out.setKind(static_cast<std::uint8_t>(route.kind));
    out.setTimeoutMs(route.timeout.count());
    out.setTargetLatencyMs(route.targetLatency.count());
    out.setRank(route.rank);
    out.setMaxAttempts(route.maxAttempts);
    out.setKeepsHistory(route.keepsHistory);
    out.setRetentionMs(route.retention.count());
    out.setIsSticky(route.isSticky);
    out.setIsResumable(route.isResumable);
    out.setAllowsAnonymous(route.allowsAnonymous);
    auto shares = out.initShares(static_cast<unsigned>(route.shares.size()));
    for (unsigned i = 0; i < shares.size(); ++i) {
        shares[i].setService(toText(route.shares[i].service));
        shares[i].setWeight(route.shares[i].weight);
    }
}

//! Routes of a large document differ in name and prefix and in little else. Told once for all that have them in common,
//! the rest takes a third of the bytes.
void encodeRoutes(const std::vector<const Route *> &routes, schema::DocumentBucket::Builder bucket)
{
    auto out = bucket.initRoutes(static_cast<unsigned>(routes.size()));
    std::vector<const Route *> rules;
    for (unsigned i = 0; i < out.size(); ++i) {
        const Route &route = *routes[i];
        const auto same
            = std::find_if(rules.begin(), rules.end(), [&](const Route *other) { return hasSameRules(route, *other); });
        out[i].setName(toText(route.name));
        out[i].setPrefix(toText(route.prefix));
        out[i].setRules(static_cast<std::uint32_t>(same - rules.begin()));
        if (same == rules.end()) {
            rules.push_back(&route);
        }
    }
    auto common = bucket.initRules(static_cast<unsigned>(rules.size()));
    for (unsigned i = 0; i < common.size(); ++i) {
        encodeRules(*rules[i], common[i]);
    }
}

//! A route without a name and prefix.
Route decodeRules(schema::RouteRules::Reader in)
{
    Route route;
    route.host = fromText(in.getHost());
    // Of a kind that this build does not know nothing may be repeated.
    route.kind = in.getKind() <= static_cast<std::uint8_t>(RouteKind::Streaming) ? static_cast<RouteKind>(in.getKind())
                                                                                 : RouteKind::Unsafe;
    route.timeout = Milliseconds(in.getTimeoutMs());
    route.targetLatency = Milliseconds(in.getTargetLatencyMs());
    route.rank = in.getRank();
    route.maxAttempts = in.getMaxAttempts();
    route.keepsHistory = in.getKeepsHistory();
    route.retention = Milliseconds(in.getRetentionMs());
    route.isSticky = in.getIsSticky();
    route.isResumable = in.getIsResumable();
    route.allowsAnonymous = in.getAllowsAnonymous();
    for (const auto share : in.getShares()) {
        route.shares.push_back({fromText(share.getService()), share.getWeight()});
    }
    return route;
}

//! Errors: InvalidRequest for a route whose rules are not there.
Result<void> decodeRoutes(schema::DocumentBucket::Reader bucket, std::vector<Route> &routes)
{
    std::vector<Route> rules;
    for (const auto in : bucket.getRules()) {
        rules.push_back(decodeRules(in));
    }
    for (const auto in : bucket.getRoutes()) {
        if (in.getRules() >= rules.size()) {
            return makeError(ErrorKind::InvalidRequest, "a route names rules that its bucket does not have");
        }
        Route &route = routes.emplace_back(rules[in.getRules()]);
        route.name = fromText(in.getName());
        route.prefix = fromText(in.getPrefix());
    }
    return boost::outcome_v2::success();
}

void encodeService(const BackendService &service, schema::RoutedService::Builder out)
{
    out.setName(toText(service.name));
    out.setMaxConnections(service.maxConnections);
    out.setIsEngine(service.isEngine);
    out.setSlots(service.engine.slots);
    out.setCacheTokens(service.engine.cacheTokens);
    out.setTokensPerEvent(service.engine.tokensPerEvent);
}

BackendService decodeService(schema::RoutedService::Reader in)
{
    return {fromText(in.getName()),
            in.getMaxConnections(),
            in.getIsEngine(),
            {in.getSlots(), in.getCacheTokens(), in.getTokensPerEvent()}};
}

void encodeAccount(const Account &account, schema::Account::Builder out)
{
    out.setName(toText(account.name));
    out.setRank(account.rank ? static_cast<std::int64_t>(*account.rank) : noRank);
    out.setPerSecond(account.limit.perSecond);
    out.setBurst(account.limit.burst);
    auto keys = out.initKeys(static_cast<unsigned>(account.keys.size()));
    for (unsigned i = 0; i < keys.size(); ++i) {
        keys.set(i, {account.keys[i].data(), account.keys[i].size()});
    }
}

//! Errors: InvalidRequest for a key that is no hash.
Result<Account> decodeAccount(schema::Account::Reader in)
{
    Account account;
    account.name = fromText(in.getName());
    if (in.getRank() >= 0) {
        account.rank = static_cast<unsigned>(in.getRank());
    }
    account.limit = {in.getPerSecond(), in.getBurst()};
    for (const auto key : in.getKeys()) {
        KeyHash &hash = account.keys.emplace_back();
        if (key.size() != hash.size()) {
            return makeError(ErrorKind::InvalidRequest, "a key's hash has another length");
        }
        std::copy(key.begin(), key.end(), hash.begin());
    }
    return account;
}

void encodeBounds(const CallerBounds &bounds, schema::CallerBounds::Builder out)
{
    out.setHeaderBytes(bounds.headerBytes);
    out.setBodyBytes(bounds.bodyBytes);
    out.setHeaderTimeoutMs(bounds.headerTimeout.count());
    out.setIdleTimeoutMs(bounds.idleTimeout.count());
}

CallerBounds decodeBounds(schema::CallerBounds::Reader in)
{
    return {in.getHeaderBytes(), in.getBodyBytes(), Milliseconds(in.getHeaderTimeoutMs()),
            Milliseconds(in.getIdleTimeoutMs())};
}

//! Items in an order that follows from their names, whatever order the operator's document has.
void sortByName(Part &part)
{
    std::sort(part.routes.begin(), part.routes.end(), [](const Route *left, const Route *right) {
        return std::tie(left->host, left->prefix) < std::tie(right->host, right->prefix);
    });
    // Of two services with one name the first counts, also after this.
    std::stable_sort(part.services.begin(), part.services.end(),
                     [](const BackendService *left, const BackendService *right) { return left->name < right->name; });
    std::sort(part.accounts.begin(), part.accounts.end(),
              [](const Account *left, const Account *right) { return left->name < right->name; });
}

std::string encodePart(Part part)
{
    if (part.routes.empty() && part.services.empty() && part.accounts.empty() && part.bounds == nullptr) {
        return {};
    }
    sortByName(part);
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::DocumentBucket>();
    encodeRoutes(part.routes, out);
    auto services = out.initServices(static_cast<unsigned>(part.services.size()));
    for (unsigned i = 0; i < services.size(); ++i) {
        encodeService(*part.services[i], services[i]);
    }
    auto accounts = out.initAccounts(static_cast<unsigned>(part.accounts.size()));
    for (unsigned i = 0; i < accounts.size(); ++i) {
        encodeAccount(*part.accounts[i], accounts[i]);
    }
    out.setHasAccounts(part.hasAccounts);
    if (part.bounds != nullptr) {
        encodeBounds(*part.bounds, out.initBounds());
    }
    return toPackedBytes(message);
}

} // namespace

BucketBytes::All DocumentBucketCodec::encode(const Content &document)
{
    std::array<Part, BucketBytes::count> parts;
    for (const Route &route : document.routes) {
        parts[bucketOf(route.host + route.prefix)].routes.push_back(&route);
    }
    for (const BackendService &service : document.services) {
        parts[bucketOf(service.name)].services.push_back(&service);
    }
    for (const Account &account : document.accounts) {
        parts[bucketOf(account.name)].accounts.push_back(&account);
    }
    parts[boundsBucket].bounds = &document.bounds;
    parts[boundsBucket].hasAccounts = document.hasAccounts;
    BucketBytes::All all;
    std::transform(parts.begin(), parts.end(), all.begin(), encodePart);
    return all;
}

Result<void> DocumentBucketCodec::decode(const std::string &bytes, Content &document)
{
    return readBucket<schema::DocumentBucket>(bytes, [&](schema::DocumentBucket::Reader bucket) -> Result<void> {
        BOOST_OUTCOME_TRYV(decodeRoutes(bucket, document.routes));
        for (const auto service : bucket.getServices()) {
            document.services.push_back(decodeService(service));
        }
        for (const auto in : bucket.getAccounts()) {
            BOOST_OUTCOME_TRY(Account account, decodeAccount(in));
            document.accounts.push_back(std::move(account));
        }
        document.hasAccounts = document.hasAccounts || bucket.getHasAccounts();
        if (bucket.hasBounds()) {
            document.bounds = decodeBounds(bucket.getBounds());
        }
        return boost::outcome_v2::success();
    });
}

} // namespace cardamompost
