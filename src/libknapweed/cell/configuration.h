// The part of the operators' configuration that the cell uses. Version numbers only increase.
#pragma once

#include "base/clock.h"
#include "jobs/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweed::cell
{

struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< the queue's tasks run on the endpoints of this service
    int priority = 0; ///< 0 is the highest priority; it may preempt the others
    int attempts = 1; ///< a job fails when one of its tasks has failed this often
    double stretch = 1; ///< factor on the job's longest chain of steps, in its completion objective
    Milliseconds slack {0}; ///< added to the completion objective
    bool isPublic = false; ///< calls need no access key
    AdvicePolicy advice;
};

struct Account
{
    std::string name;
    std::int64_t guaranteedAccelerators = 0;
};

struct CellConfiguration
{
    std::int64_t version = 0; ///< 0: no configuration received yet
    std::vector<Queue> queues;
    std::vector<Account> accounts;
    std::map<std::string, std::string> accountByKey;
    std::size_t maximumBodyBytes = 1 << 18;
};

/// The queue for a call: the one with this host and the longest path prefix that matches @p path. Null if there is none.
const Queue *findQueue(const CellConfiguration &configuration, const std::string &host, const std::string &path);

/// The queue named @p name, or null.
const Queue *queueNamed(const CellConfiguration &configuration, const std::string &name);

std::int64_t guaranteedAccelerators(const CellConfiguration &configuration, const std::string &account);

} // namespace knapweed::cell
