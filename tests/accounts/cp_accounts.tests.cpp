#include <cardamompost/accounts/cp_account_table.hpp>
#include <cardamompost/accounts/cp_scoped_id.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

Account account(const std::string &name, const std::vector<std::string> &keys)
{
    Account account;
    account.name = name;
    for (const std::string &key : keys) {
        account.keys.push_back(hashKey(key));
    }
    return account;
}

} // namespace

BOOST_AUTO_TEST_SUITE(accounts)

BOOST_AUTO_TEST_CASE(only_the_exact_key_finds_an_account)
{
    const std::vector<Account> all {account("officers", {"k1", "k2"}), account("foremen", {"k3"})};
    const AccountTable table(all);
    BOOST_TEST(table.find(hashKey("k2"))->name == "officers");
    BOOST_TEST(table.find(hashKey("k3"))->name == "foremen");
    for (const char *other : {"", "k", "k11", "K1", " k1", "k1 ", "k1,k2"}) {
        BOOST_TEST((table.find(hashKey(other)) == nullptr), other);
    }
}

BOOST_AUTO_TEST_CASE(key_hashes_match_the_published_sha256_vector)
{
    const KeyHash hash = hashKey("abc");
    BOOST_TEST(hash[0] == 0xba);
    BOOST_TEST(hash[1] == 0x78);
    BOOST_TEST(hash[31] == 0xad);
}

// Guards against one account acting for another through a shared key.
BOOST_AUTO_TEST_CASE(accounts_sharing_a_key_are_rejected_without_revealing_the_key)
{
    const Result<void> checked = checkAccounts(
        {account("officers", {"k1"}), account("foremen", {"k2", "secret-k1"}), account("agents", {"secret-k1"})});
    BOOST_REQUIRE(!checked);
    BOOST_TEST(checked.error().message.find("foremen") != std::string::npos);
    BOOST_TEST(checked.error().message.find("agents") != std::string::npos);
    BOOST_TEST(checked.error().message.find("secret") == std::string::npos);
    BOOST_TEST(checkAccounts({account("officers", {"k1", "k1"})}).has_value());
}

// Guards against header injection through account names.
BOOST_AUTO_TEST_CASE(names_that_are_not_header_values_are_rejected)
{
    for (const std::string &name : {std::string(), std::string("a\r\nHost: b"), std::string("a\nb"), std::string(" a"),
                                    std::string("a "), std::string("a\0b", 3)}) {
        BOOST_TEST(!checkAccounts({account(name, {"k"})}).has_value(), name);
    }
    BOOST_TEST(!checkAccounts({account("a", {"k"}), account("a", {"l"})}).has_value());
    BOOST_TEST(checkAccounts({account("Okpara Bulk, Lagos", {"k"})}).has_value());
}

// Guards against sharing a program's history or budget between accounts.
BOOST_AUTO_TEST_CASE(ids_of_different_accounts_never_collide)
{
    BOOST_TEST(scopedId("a", "1") != scopedId("b", "1"));
    BOOST_TEST(scopedId("a", "b1") != scopedId("ab", "1"));
    BOOST_TEST(scopedId("", "1") == "1");
    BOOST_TEST(scopedId("a", "").empty());
    BOOST_TEST(unscopedId(scopedId("a", "1")) == "1");
    BOOST_TEST(accountOf(scopedId("a", "1")) == "a");
    BOOST_TEST(unscopedId("1") == "1");
    BOOST_TEST(accountOf("1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
