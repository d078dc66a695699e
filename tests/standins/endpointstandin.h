// Test stand-in for one endpoint: runs parts of jobs in a number of slots and announces itself to its agent. Tests compare
// results with its counts of started parts.
#pragma once

#include "base/address.h"
#include "base/httpclient.h"
#include "standins/standin.h"

#include <cstdint>
#include <list>
#include <map>

namespace knapweed::standins
{

struct EndpointStandinOptions
{
    int slots = 8;
    int connections = 60; ///< number of connections that the endpoint announces as its limit
    Address agent; ///< the agent to announce to; port 0 disables announcements
};

class EndpointStandin
{
public:
    EndpointStandin(EventLoop &loop, EndpointStandinOptions options);

    /// Announces @p self to the agent immediately and then every second.
    void announceAs(const Address &self);

    void handle(const HttpRequest &request, const HttpResponder &respond);
    FaultGate &faults();

private:
    enum class PartState { Reserved, Running, Completed, Failed, Stopped, LeaseExpired };

    struct Part
    {
        std::string job;
        std::string kind;
        std::string input;
        std::string output;
        PartState state = PartState::Reserved;
        bool wasStarted = false; ///< invariant: never reset to false
        TimerId leaseTimer = 0;
        TimerId runTimer = 0;
    };

    struct Waiter
    {
        std::string part;
        HttpResponder respond;
        TimerId timer = 0;
    };

    void serve(const HttpRequest &request, const HttpResponder &respond);
    void servePart(const std::vector<std::string> &path, const HttpRequest &request, const HttpResponder &respond);
    void reserve(const std::string &id, const nlohmann::json &body, const HttpResponder &respond);
    void start(const std::string &id, const nlohmann::json &body, const HttpResponder &respond);
    void renew(const std::string &id, const nlohmann::json &body, const HttpResponder &respond);
    void remove(const std::string &id, const HttpResponder &respond);
    void answerWhenFinished(const std::string &id, Milliseconds wait, const HttpResponder &respond);
    HttpResponse list() const;
    HttpResponse counts() const;

    void run(const std::string &id, Part &part);
    void finish(const std::string &id, PartState state);
    void setLease(const std::string &id, Part &part, const nlohmann::json &body);
    int usedSlots() const;
    void announce();
    bool setFault(const std::string &name, const nlohmann::json &value);

    static const char *stateName(PartState state);
    static bool holdsSlot(const Part &part);
    static nlohmann::json document(const std::string &id, const Part &part);

    EventLoop &loop_;
    HttpClient client_;
    EndpointStandinOptions options_;
    FaultGate faults_;
    Address self_;
    std::map<std::string, Part> parts_; ///< entries are never removed; invariant: at most options_.slots parts are reserved or running
    std::list<Waiter> waiters_;
    std::map<std::string, int> startsOfJob_;
    std::map<std::string, int> startsOfPart_;
    int starts_ = 0;
    bool isLeaving_ = false;
    bool isAnnouncing_ = true;
    MonotonicTime leavingSince_;
    int reservedWhileLeaving_ = 0;
    Milliseconds lastReservedAfterLeaving_ {0};
};

} // namespace knapweed::standins
