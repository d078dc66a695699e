// The numbers of relayed calls, and the answers that are taken.

#include "callrelay.h"

#include <set>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace knapweed;

TEST_GROUP(CallRelay)
{
    std::set<std::int64_t> sent;

    const MonotonicTime now = std::chrono::steady_clock::now();
    std::vector<wire::CallOutcome::type> outcomes;

    /// A process of its own at the same address.
    void relayOneCall()
    {
        CallRelay relay([this](const wire::JobCall &call) {
            sent.insert(call.call);
            return true;
        });
        relay.call({}, now, now + Seconds(1), now + Seconds(1), [](const RelayedAnswer &) {});
    }

    wire::JobAnswer answerOf(std::int64_t generation, wire::CallOutcome::type outcome, wire::AnswerBasis::type basis)
    {
        wire::JobAnswer answer;
        answer.call = *sent.begin();
        answer.generation = generation;
        answer.outcome = outcome;
        answer.basis = basis;
        return answer;
    }
};

/// Guards against UNASKED: an entry that starts again at its address takes the answer to a call of its predecessor for that to a cancel of the same number.
TEST(CallRelay, callsOfTheNextProcessAtTheSameAddressHaveOtherNumbers)
{
    relayOneCall();
    relayOneCall();
    LONGS_EQUAL(2, sent.size());
}

/// Guards against LOST: an entry ended while calls waited for a scheduler, and their callers got no answer.
TEST(CallRelay, allCallsAreAnsweredBeforeTheProcessEnds)
{
    std::vector<RelayedAnswer::Kind> answers;
    bool isSchedulerKnown = true;
    CallRelay relay([&isSchedulerKnown](const wire::JobCall &) {
        return isSchedulerKnown;
    });
    const auto answered = [&answers](const RelayedAnswer &answer) {
        answers.push_back(answer.kind);
    };
    relay.call({}, now, now + Seconds(3), now + Seconds(3), answered);
    isSchedulerKnown = false;
    relay.endBy(now + Seconds(2));
    relay.call({}, now, now + Seconds(3), now + Seconds(3), answered);
    relay.tick(now + Seconds(1));
    CHECK(answers.empty());
    relay.tick(now + Seconds(2));
    LONGS_EQUAL(2, answers.size());
    CHECK(answers[0] == RelayedAnswer::Kind::Unknown);
    CHECK(answers[1] == RelayedAnswer::Kind::NotSent);
}

/// Guards against REFUSED: a scheduler that was paused refuses a submission that its successor has accepted meanwhile.
TEST(CallRelay, refusalOfAnEarlierSchedulerIsIgnored)
{
    CallRelay relay([this](const wire::JobCall &call) {
        sent.insert(call.call);
        return true;
    });
    relay.schedulerChanged(1, now);
    relay.call({}, now, now + Seconds(1), now + Seconds(1), [this](const RelayedAnswer &relayed) {
        outcomes.push_back(relayed.answer.outcome);
    });
    relay.schedulerChanged(3, now);
    relay.handleAnswer(answerOf(1, wire::CallOutcome::Refused, wire::AnswerBasis::Memory));
    CHECK(outcomes.empty());
    relay.handleAnswer(answerOf(3, wire::CallOutcome::Ok, wire::AnswerBasis::Record));
    LONGS_EQUAL(1, outcomes.size());
    CHECK(outcomes.front() == wire::CallOutcome::Ok);
}

/// What is stored stays so, whichever scheduler says it.
TEST(CallRelay, storedAnswerOfAnEarlierSchedulerIsTaken)
{
    CallRelay relay([this](const wire::JobCall &call) {
        sent.insert(call.call);
        return true;
    });
    relay.call({}, now, now + Seconds(1), now + Seconds(1), [this](const RelayedAnswer &relayed) {
        outcomes.push_back(relayed.answer.outcome);
    });
    relay.schedulerChanged(3, now);
    relay.handleAnswer(answerOf(1, wire::CallOutcome::Ok, wire::AnswerBasis::Record));
    LONGS_EQUAL(1, outcomes.size());
}
