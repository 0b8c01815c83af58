#include "cp_bucket_codec.hpp"

#include <cardamompost/routing/cp_document_buckets.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

//! The bucket of the limits on callers.
constexpr std::size_t boundsBucket = 0;
// Encodes an account without a rank.
constexpr std::int64_t noRank = -1;

//! The items of a document that belong to one bucket.
struct BucketItems {
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

//! Encodes rules that several routes of a bucket share once, as most routes differ in name and prefix only.
void encodeRoutes(const std::vector<const Route *> &routes, schema::DocumentBucket::Builder bucket)
{
    auto out = bucket.initRoutes(static_cast<unsigned>(routes.size()));
    std::vector<const Route *> rules;
    for (unsigned i = 0; i < out.size(); ++i) {
        const Route &route = *routes[i];
        const auto shared
            = std::find_if(rules.begin(), rules.end(), [&](const Route *other) { return hasSameRules(route, *other); });
        out[i].setName(toText(route.name));
        out[i].setPrefix(toText(route.prefix));
        out[i].setRules(static_cast<std::uint32_t>(shared - rules.begin()));
        if (shared == rules.end()) {
            rules.push_back(&route);
        }
    }
    auto common = bucket.initRules(static_cast<unsigned>(rules.size()));
    for (unsigned i = 0; i < common.size(); ++i) {
        encodeRules(*rules[i], common[i]);
    }
}

//! A route with its rules, without name and prefix.
Route decodeRules(schema::RouteRules::Reader in)
{
    Route route;
    route.host = fromText(in.getHost());
    // Requests of an unknown kind must not be retried.
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

//! Errors: InvalidRequest for a route that refers to missing rules.
Result<void> decodeRoutes(schema::DocumentBucket::Reader bucket, std::vector<Route> &routes)
{
    std::vector<Route> rules;
    for (const auto in : bucket.getRules()) {
        rules.push_back(decodeRules(in));
    }
    for (const auto in : bucket.getRoutes()) {
        if (in.getRules() >= rules.size()) {
            return makeError(ErrorKind::InvalidRequest, "a route refers to rules that its bucket does not have");
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
    out.setCanFetchPrompts(service.engine.canFetchPrompts);
}

BackendService decodeService(schema::RoutedService::Reader in)
{
    return {fromText(in.getName()),
            in.getMaxConnections(),
            in.getIsEngine(),
            {in.getSlots(), in.getCacheTokens(), in.getTokensPerEvent(), in.getCanFetchPrompts()}};
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

//! Errors: InvalidRequest for a key hash of the wrong length.
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
            return makeError(ErrorKind::InvalidRequest, "a key hash has the wrong length");
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

//! Sorts the items, so that the encoding does not depend on their order in the document.
void sortItems(BucketItems &items)
{
    std::sort(items.routes.begin(), items.routes.end(), [](const Route *left, const Route *right) {
        return std::tie(left->host, left->prefix) < std::tie(right->host, right->prefix);
    });
    // Stable, as the first of two services with the same name is used.
    std::stable_sort(items.services.begin(), items.services.end(),
                     [](const BackendService *left, const BackendService *right) { return left->name < right->name; });
    std::sort(items.accounts.begin(), items.accounts.end(),
              [](const Account *left, const Account *right) { return left->name < right->name; });
}

std::string encodeBucket(BucketItems items)
{
    if (items.routes.empty() && items.services.empty() && items.accounts.empty() && items.bounds == nullptr) {
        return {};
    }
    sortItems(items);
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::DocumentBucket>();
    encodeRoutes(items.routes, out);
    auto services = out.initServices(static_cast<unsigned>(items.services.size()));
    for (unsigned i = 0; i < services.size(); ++i) {
        encodeService(*items.services[i], services[i]);
    }
    auto accounts = out.initAccounts(static_cast<unsigned>(items.accounts.size()));
    for (unsigned i = 0; i < accounts.size(); ++i) {
        encodeAccount(*items.accounts[i], accounts[i]);
    }
    out.setHasAccounts(items.hasAccounts);
    if (items.bounds != nullptr) {
        encodeBounds(*items.bounds, out.initBounds());
    }
    return toPackedBytes(message);
}

} // namespace

BucketBytes::All DocumentBucketCodec::encode(const Content &document)
{
    std::array<BucketItems, BucketBytes::count> buckets;
    for (const Route &route : document.routes) {
        buckets[bucketOf(route.host + route.prefix)].routes.push_back(&route);
    }
    for (const BackendService &service : document.services) {
        buckets[bucketOf(service.name)].services.push_back(&service);
    }
    for (const Account &account : document.accounts) {
        buckets[bucketOf(account.name)].accounts.push_back(&account);
    }
    buckets[boundsBucket].bounds = &document.bounds;
    buckets[boundsBucket].hasAccounts = document.hasAccounts;
    BucketBytes::All all;
    std::transform(buckets.begin(), buckets.end(), all.begin(), encodeBucket);
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
