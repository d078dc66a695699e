// The part of the operators' configuration that the cell works by. Versions only rise.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweed::cell
{

/// What a queue asks its placement adviser for, and how long advice holds.
struct AdvicePolicy
{
    bool isRequired = false;
    Milliseconds perCall {0};
    Milliseconds perEndpoint {0};
    Milliseconds validity {0};
};

struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< whose endpoints run its tasks
    int priority = 0; ///< 0 comes first and may preempt others
    int attempts = 1; ///< runs of a task that may fail
    double stretch = 1; ///< of the longest chain, in the objective
    Milliseconds slack {0}; ///< added to the objective
    bool isPublic = false; ///< calls need no key
    AdvicePolicy advice;
};

struct Account
{
    std::string name;
    std::int64_t guaranteedAccelerators = 0;
};

struct CellConfiguration
{
    std::int64_t version = 0; ///< 0: none known yet
    std::vector<Queue> queues;
    std::vector<Account> accounts;
    std::map<std::string, std::string> accountByKey;
    std::size_t maximumBodyBytes = 1 << 18;
};

/// The queue of a call: its host, and the longest prefix that begins @p path. Null when there is none.
const Queue *findQueue(const CellConfiguration &configuration, const std::string &host, const std::string &path);

/// The queue named @p name, or null.
const Queue *queueNamed(const CellConfiguration &configuration, const std::string &name);

std::int64_t guaranteedAccelerators(const CellConfiguration &configuration, const std::string &account);

} // namespace knapweed::cell
