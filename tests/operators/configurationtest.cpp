// Tests the configuration document: valid ones survive a round trip, each fault gives a line with its path, exceptions take effect until they expire.

#include "operators/configuration.h"
#include "operators/timestamp.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

nlohmann::json sampleDocument()
{
    return nlohmann::json::parse(R"({"accounts":{
        "kothari-fit":{"token":"secret-fit","weight":2,"guarantee":[{"tasks":2,"accelerators_per_task":4,"adjacency":"rack"}],"queued_limit":1000},
        "kothari-sheets":{"token":"secret-sheets"}},
        "defaults":{"hold_ms":2500},
        "exceptions":[
        {"id":"x1","subject":"account:kothari-fit","setting":"queued_limit","value":2000,"reason":"fitting week","author":"rota-a",
         "expires_at":"2026-12-31T00:00:00Z"},
        {"id":"x2","subject":"worker:w3","setting":"excluded","value":true,"reason":"fan broken","author":"rota-b"}]})");
}

std::string faultsOf(const std::string &text)
{
    const Result<Configuration, ConfigurationError> parsed = parseConfiguration(text);
    std::string lines;
    if (!isOk(parsed)) {
        for (const std::string &line : error(parsed).lines) {
            lines += line + '\n';
        }
    }
    return lines;
}

struct FaultCase
{
    const char *pointer; ///< JSON pointer of the field that is changed
    const char *value; ///< JSON text to set; null removes the field
    const char *fault; ///< the complete report
};

const FaultCase faultCases[] = {
    {"/colour", "1", "(document): found the unknown key \"colour\", allowed is one of accounts defaults exceptions\n"},
    {"/accounts",
        "[]",
        "accounts: found [], allowed is an object of at most 10000 members\n"
        "exceptions[0].subject: found \"account:kothari-fit\", allowed is \"account:NAME\" of an account in this configuration\n"},
    {"/accounts/a b", R"({"token":"12345678"})", "accounts: found the name \"a b\", allowed is a name of 1 to 64 characters out of A-Z a-z 0-9 . _ -\n"},
    {"/accounts/kothari-fit/token", nullptr, "accounts.kothari-fit.token: found nothing, allowed is a token of 8 to 256 visible ASCII characters\n"},
    {"/accounts/kothari-fit/token",
        R"("a secret")",
        "accounts.kothari-fit.token: found a text of 8 bytes, allowed is a token of 8 to 256 visible ASCII characters\n"},
    {"/accounts/kothari-fit/token",
        R"("secret-sheets")",
        "accounts.kothari-sheets.token: found the token of account kothari-fit, allowed is a token of its own for each account\n"},
    {"/accounts/kothari-fit/weight", "0", "accounts.kothari-fit.weight: found 0, allowed is a number from 0.01 to 1000.0\n"},
    {"/accounts/kothari-fit/weight", R"("1")", "accounts.kothari-fit.weight: found \"1\", allowed is a number from 0.01 to 1000.0\n"},
    {"/accounts/kothari-fit/guarantee/0/tasks", "0", "accounts.kothari-fit.guarantee[0].tasks: found 0, allowed is a whole number from 1 to 64\n"},
    {"/accounts/kothari-fit/guarantee/0/adjacency",
        R"("row")",
        "accounts.kothari-fit.guarantee[0].adjacency: found \"row\", allowed is one of none rack worker\n"},
    {"/defaults/attempt_limit", "0", "defaults.attempt_limit: found 0, allowed is a whole number from 1 to 100\n"},
    {"/defaults",
        R"({"completion_weight":0,"fragmentation_weight":0})",
        "defaults.completion_weight: found zero for it and for fragmentation_weight, allowed is at least one of the two weights above zero\n"},
    {"/exceptions/0/reason", nullptr, "exceptions[0].reason: found nothing, allowed is a line of 1 to 1000 printable bytes\n"},
    {"/exceptions/0/reason", R"("")", "exceptions[0].reason: found \"\", allowed is a line of 1 to 1000 printable bytes\n"},
    {"/exceptions/0/reason", R"("a\nb")", "exceptions[0].reason: found \"a\\nb\", allowed is a line of 1 to 1000 printable bytes\n"},
    {"/exceptions/0/value", nullptr, "exceptions[0].value: found nothing, allowed is the value of the setting\n"},
    {"/exceptions/0/value", "-1", "exceptions[0].value: found -1, allowed is a whole number from 0 to 1000000\n"},
    {"/exceptions/0/subject",
        R"("account:nobody")",
        "exceptions[0].subject: found \"account:nobody\", allowed is \"account:NAME\" of an account in this configuration\n"},
    {"/exceptions/0/subject", R"("rack:r1")", "exceptions[0].subject: found \"rack:r1\", allowed is \"account:NAME\" or \"worker:ID\"\n"},
    {"/exceptions/0/setting",
        R"("token")",
        "exceptions[0].setting: found \"token\", allowed is one of burst queued_limit requests_per_second weight for an account\n"},
    {"/exceptions/1/setting", R"("weight")", "exceptions[1].setting: found \"weight\", allowed is excluded for a worker\n"},
    {"/exceptions/1/value", "1", "exceptions[1].value: found 1, allowed is true or false\n"},
    {"/exceptions/1/id", R"("x1")", "exceptions[1].id: found \"x1\" twice, allowed is an id of its own for each exception\n"},
    {"/exceptions/0/expires_at",
        R"("2026-02-30T00:00:00Z")",
        "exceptions[0].expires_at: found \"2026-02-30T00:00:00Z\", allowed is a time in UTC such as 2026-12-31T00:00:00Z\n"},
    {"/exceptions/2",
        R"({"id":"x3","subject":"worker:w3","setting":"excluded","value":false,"reason":"r","author":"a"})",
        "exceptions[2]: found worker:w3 excluded as in exceptions[1], allowed is one exception for a subject and setting\n"},
};

} // namespace

TEST_GROUP(Configuration) {};

TEST(Configuration, readsADocument)
{
    const Result<Configuration, ConfigurationError> parsed = parseConfiguration(sampleDocument().dump());

    CHECK(isOk(parsed));
    const Configuration &configuration = value(parsed);
    const ClientAccount &account = configuration.accounts.at("kothari-fit");
    STRCMP_EQUAL("secret-fit", account.token.c_str());
    LONGS_EQUAL(4, account.guarantee.at(0).acceleratorsPerTask);
    CHECK(account.guarantee.at(0).adjacency == wire::Adjacency::Rack);
    LONGS_EQUAL(1000, configuration.accounts.at("kothari-sheets").queuedLimit);
    CHECK(configuration.defaults.hold == Milliseconds(2500));
    CHECK(configuration.defaults.gangLease == Milliseconds(3000));
    STRCMP_EQUAL("fan broken", configuration.exceptions.at(1).reason.c_str());
}

TEST(Configuration, survivesARoundTrip)
{
    const std::string text = formatConfiguration(value(parseConfiguration(sampleDocument().dump())));

    STRCMP_EQUAL(text.c_str(), formatConfiguration(value(parseConfiguration(text))).c_str());
}

TEST(Configuration, mayBeEmpty)
{
    STRCMP_EQUAL("", faultsOf("{}").c_str());
}

TEST(Configuration, givesOneLineForEachFault)
{
    for (const FaultCase &fault : faultCases) {
        nlohmann::json document = sampleDocument();
        const nlohmann::json::json_pointer pointer(fault.pointer);
        if (fault.value == nullptr) {
            document[pointer.parent_pointer()].erase(pointer.back());
        } else {
            document[pointer] = nlohmann::json::parse(fault.value);
        }
        STRCMP_EQUAL(fault.fault, faultsOf(document.dump()).c_str());
    }
}

TEST(Configuration, appliesExceptionsUntilTheyExpire)
{
    const Configuration configuration = value(parseConfiguration(sampleDocument().dump()));
    const WallTime expiry = *parseTimestamp("2026-12-31T00:00:00Z");

    LONGS_EQUAL(2000, effectiveConfiguration(configuration, expiry - Milliseconds(1)).accounts.at("kothari-fit").queuedLimit);
    LONGS_EQUAL(2, effectiveConfiguration(configuration, expiry - Milliseconds(1)).exceptions.size());
    LONGS_EQUAL(1000, effectiveConfiguration(configuration, expiry).accounts.at("kothari-fit").queuedLimit);
    LONGS_EQUAL(1, effectiveConfiguration(configuration, expiry).exceptions.size());
    STRCMP_EQUAL("w3", excludedWorkers(configuration, expiry).at(0).c_str());
}

TEST(Configuration, findsTheNextExpiry)
{
    const Configuration configuration = value(parseConfiguration(sampleDocument().dump()));
    const WallTime expiry = *parseTimestamp("2026-12-31T00:00:00Z");

    CHECK(nextExpiry(configuration, expiry - Milliseconds(1)) == expiry);
    CHECK(nextExpiry(configuration, expiry) == WallTime::max());
    CHECK(nextExpiry(Configuration(), expiry) == WallTime::max());
}

TEST(Configuration, readsAndWritesTimes)
{
    for (const char *text : {"2000-01-01T00:00:00Z", "2024-02-29T23:59:59Z", "2199-12-31T12:30:45Z"}) {
        STRCMP_EQUAL(text, formatTimestamp(*parseTimestamp(text)).c_str());
    }
    for (const char *text :
        {"", "2026-12-31", "2026-13-01T00:00:00Z", "2025-02-29T00:00:00Z", "2026-12-31T24:00:00Z", "2026-12-31T00:00:00+", "2026-1 -31T00:00:00Z"}) {
        CHECK_TRUE_TEXT(!parseTimestamp(text), text);
    }
}
