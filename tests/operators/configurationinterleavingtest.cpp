// Property tests of the configuration fold with random logs, readers and offers of peers: versions never decrease, and all processes with the same version
// have the same document. A failing case prints its seed.

#include "operators/configurationfold.h"

#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

using Verdict = ConfigurationFold::Verdict;

/// One random event of the log or of a reader. The numbers select an operation, record or reader, modulo the number available.
struct Step
{
    int kind = 0;
    int first = 0;
    int second = 0;
};

std::vector<Step> randomSteps()
{
    const rc::Gen<Step> step = rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 100)),
        rc::gen::set(&Step::first, rc::gen::inRange(0, 1000)),
        rc::gen::set(&Step::second, rc::gen::inRange(0, 1000)));
    return *rc::gen::container<std::vector<Step>>(step);
}

/// A fold that has read @p log from @p first up to @p end; the records before @p first have expired.
ConfigurationFold foldOf(const std::vector<Record> &log, std::size_t first, std::size_t end)
{
    ConfigurationFold fold;
    fold.skipTo(static_cast<std::int64_t>(first));
    for (std::size_t offset = first; offset < end; ++offset) {
        fold.apply(static_cast<std::int64_t>(offset), log[offset]);
    }
    return fold;
}

ConfigurationRecord randomChange(std::int64_t version, std::size_t number, const Step &step)
{
    const std::int64_t base = version + std::max(-2, step.first % 6 - 4); // stale, current, or not existing yet
    const std::string document = R"({"accounts":{"a":{"token":"token-of-a","queued_limit":)" + std::to_string(number) + "}}}";
    return {base, "change-" + std::to_string(number), "rota-a", step.second % 8 == 0 ? "{" : document};
}

/// A log of changes, duplicate changes, and late snapshots by processes that had read up to any earlier offset. Some of these processes have adopted a
/// version from further on in the log.
std::vector<Record> randomLog(const std::vector<Step> &steps)
{
    std::vector<Record> log;
    for (const Step &step : steps) {
        const std::size_t end = static_cast<std::size_t>(step.first) % (log.size() + 1);
        const std::size_t first = step.second % 2 == 0 ? 0 : static_cast<std::size_t>(step.second) % (end + 1);
        if (step.kind < 25) {
            SnapshotRecord snapshot;
            ConfigurationFold writer = foldOf(log, first, end);
            if (step.second % 3 == 0) {
                const ConfigurationVersion newest = foldOf(log, 0, log.size()).current(); // from a peer that has read further
                writer.adopt(newest.version, newest.document, newest.author);
            }
            if (writer.isLogVersionKnown()) {
                writer.fillSnapshot(snapshot);
                log.emplace_back(snapshot);
            }
        } else if (step.kind < 40 && !log.empty()) {
            log.push_back(Record(log[static_cast<std::size_t>(step.first) % log.size()]));
        } else {
            log.emplace_back(randomChange(foldOf(log, 0, log.size()).version(), log.size(), step));
        }
    }
    return log;
}

/// The expected results: the documents and verdicts of a reader that has read the whole log.
struct Expected
{
    std::map<std::int64_t, std::string> documents; ///< by version
    std::vector<Verdict> verdicts; ///< by offset
};

Expected expectedResults(const std::vector<Record> &log)
{
    Expected expected;
    ConfigurationFold fold;
    expected.documents[0] = fold.current().document;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
        expected.verdicts.push_back(fold.apply(static_cast<std::int64_t>(offset), log[offset]));
        expected.documents[fold.version()] = fold.current().document;
    }
    return expected;
}

struct Reader
{
    ConfigurationFold fold;
    std::size_t next = 0; ///< next offset to read
};

void checkReader(const Reader &reader, std::int64_t versionBefore, const Expected &expected)
{
    RC_ASSERT(reader.fold.version() >= versionBefore);
    RC_ASSERT(expected.documents.count(reader.fold.version()) == 1U);
    RC_ASSERT(reader.fold.current().document == expected.documents.at(reader.fold.version()));
}

void readNext(Reader &reader, const std::vector<Record> &log, const Expected &expected)
{
    if (reader.next >= log.size()) {
        return;
    }
    const std::size_t offset = reader.next++;
    const Verdict verdict = reader.fold.apply(static_cast<std::int64_t>(offset), log[offset]);
    if (std::holds_alternative<ConfigurationRecord>(log[offset])) {
        RC_ASSERT(verdict == expected.verdicts[offset] || verdict == Verdict::Ignored);
    }
}

void runReaders(const std::vector<Step> &steps, std::vector<Reader> &readers, const std::vector<Record> &log, const Expected &expected)
{
    std::vector<ConfigurationVersion> offers; // every version that any reader has had, for late offers
    for (const Step &step : steps) {
        Reader &reader = readers[static_cast<std::size_t>(step.first) % readers.size()];
        const std::int64_t versionBefore = reader.fold.version();
        if (step.kind < 30 && !offers.empty()) {
            const ConfigurationVersion &offer = offers[static_cast<std::size_t>(step.second) % offers.size()];
            RC_ASSERT(reader.fold.adopt(offer.version, offer.document, offer.author) == (offer.version > versionBefore));
        } else if (step.kind < 35) {
            reader.next = std::min(log.size(), reader.next + static_cast<std::size_t>(step.second) % 4);
            reader.fold.skipTo(static_cast<std::int64_t>(reader.next));
        } else if (step.kind < 40 && reader.next > 0) {
            const std::size_t again = static_cast<std::size_t>(step.second) % reader.next;
            RC_ASSERT(reader.fold.apply(static_cast<std::int64_t>(again), log[again]) == Verdict::Ignored);
        } else {
            readNext(reader, log, expected);
        }
        checkReader(reader, versionBefore, expected);
        offers.push_back(reader.fold.current());
    }
}

/// Lets every reader read to the end. A reader with a known log version must then have the newest version.
void finishReaders(std::vector<Reader> &readers, const std::vector<Record> &log, const Expected &expected)
{
    for (Reader &reader : readers) {
        while (reader.next < log.size()) {
            const std::int64_t versionBefore = reader.fold.version();
            readNext(reader, log, expected);
            checkReader(reader, versionBefore, expected);
        }
        RC_ASSERT(!reader.fold.isLogVersionKnown() || reader.fold.version() == expected.documents.rbegin()->first);
    }
}

} // namespace

TEST_GROUP(ConfigurationInterleaving) {};

TEST(ConfigurationInterleaving, versionsNeverDecreaseAndAgreeAcrossReaders)
{
    const bool holds = rc::check("any interleaving of a log's records and peers' offers", [] {
        const std::vector<Record> log = randomLog(randomSteps());
        const Expected expected = expectedResults(log);
        std::vector<Reader> readers(4);
        for (std::size_t i = 1; i < readers.size(); ++i) {
            readers[i].next = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(log.size()) + 1));
            readers[i].fold.skipTo(static_cast<std::int64_t>(readers[i].next));
        }
        std::vector<Step> steps = randomSteps();
        const std::vector<Step> more = randomSteps();
        steps.insert(steps.end(), more.begin(), more.end());
        runReaders(steps, readers, log, expected);
        finishReaders(readers, log, expected);
    });
    CHECK(holds);
}
