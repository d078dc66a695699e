// Contract of the inbox of WebSocket messages: handed over in order by the loop, never inside add(), and never once closed.

#include "base/looptask.h"
#include "base/websocketlink.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace knapweed;

TEST_GROUP(MessageInbox)
{
    LoopTask task;
    std::vector<std::string> delivered;
    std::shared_ptr<MessageInbox> inbox = std::make_shared<MessageInbox>(task.loop(), [this](std::uint64_t connection, const std::string &message) {
        delivered.push_back(std::to_string(connection) + message);
    });
};

TEST(MessageInbox, deliversInOrderAfterTheCallbackThatReceived)
{
    bool wasEarly = false;
    task.call([&]() {
        inbox->add(1, "a");
        inbox->add(2, "b");
        inbox->add(1, "c");
        wasEarly = !delivered.empty();
    });
    CHECK(task.waitFor([&]() {
        return delivered.size() == 3;
    }));
    CHECK(!wasEarly);
    STRCMP_EQUAL("1a", delivered[0].c_str());
    STRCMP_EQUAL("2b", delivered[1].c_str());
    STRCMP_EQUAL("1c", delivered[2].c_str());
}

TEST(MessageInbox, deliversNothingOnceClosed)
{
    task.call([&]() {
        inbox->add(1, "a");
        inbox->close();
    });
    task.call([]() {});
    task.call([&]() {
        LONGS_EQUAL(0, delivered.size());
    });
}
