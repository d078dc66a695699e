// Stands in for one endpoint: a number of slots that run parts of jobs, announced to the agent beside it. Its counts are the truth for tests.
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
    int connections = 60; ///< what the endpoint announces that it can serve
    Address agent; ///< port 0: announces itself to nobody
};

class EndpointStandin
{
public:
    EndpointStandin(EventLoop &loop, EndpointStandinOptions options);

    /// Begins to announce @p self to the agent, at once and every second.
    void announceAs(const Address &self);

    void handle(const HttpRequest &request, const HttpResponder &respond);
    FaultGate &faults();

private:
    enum class PartState { Reserved, Running, Completed, Failed, Stopped, Lapsed };

    struct Part
    {
        std::string job;
        std::string kind;
        std::string input;
        std::string output;
        PartState state = PartState::Reserved;
        bool wasStarted = false; ///< invariant: never turns false again
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
    void answerWhenEnded(const std::string &id, Milliseconds wait, const HttpResponder &respond);
    HttpResponse list() const;
    HttpResponse counts() const;

    void run(const std::string &id, Part &part);
    void end(const std::string &id, PartState state);
    void setLease(const std::string &id, Part &part, const nlohmann::json &body);
    int takenSlots() const;
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
    std::map<std::string, Part> parts_; ///< never forgotten; invariant: at most options_.slots of them are reserved or running
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
