// knapweed-logbench: benchmarks folding the log, snapshots, and the log client against the log stand-in. Prints one line per case.

#include "base/eventloop.h"
#include "base/httpserver.h"
#include "logservice/logclient.h"
#include "logservice/snapshot.h"
#include "standins/logstandin.h"

#include <popt.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace knapweed;

namespace
{

using Clock = std::chrono::steady_clock;

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const std::size_t index = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values.at(index);
}

SubmitRecord submit(int number)
{
    SubmitRecord record;
    record.job = "j-0123456789abcdef" + std::to_string(number);
    record.key = "order-" + std::to_string(number);
    record.owner = "10.0.0.1:7001";
    record.ownerNonce = 0x1234567890abcdef;
    record.spec.account = "kothari-fit";
    record.spec.kind = "alteration-sheet";
    record.spec.memoryMibPerTask = 256;
    record.spec.input = std::string(100, 'i');
    record.requestDigest = "0123456789abcdef";
    return record;
}

StartRecord start(int number)
{
    StartRecord record;
    record.attempt.job = submit(number).job;
    record.attempt.owner = 0x1234567890abcdef;
    record.attempt.number = 1;
    record.lead = "10.0.0.2:7002";
    record.leadNonce = 0x1234567890abcdef;
    return record;
}

OutcomeRecord outcome(int number)
{
    OutcomeRecord record;
    record.job = submit(number).job;
    record.ownerNonce = submit(number).ownerNonce;
    record.outcome = wire::Outcome::Completed;
    wire::PartResult part;
    part.worker = "w1";
    part.output = std::string(100, 'o');
    part.length = 100;
    part.digest = 0x1234567890abcdef;
    record.parts.push_back(part);
    return record;
}

/// Returns records of jobs that are all submitted and started; every second job has an outcome.
std::vector<std::string> recordsOf(int jobs)
{
    std::vector<std::string> texts;
    for (int number = 0; number < jobs; ++number) {
        texts.push_back(encodeRecord(submit(number)));
        texts.push_back(encodeRecord(start(number)));
        if (number % 2 == 0) {
            texts.push_back(encodeRecord(outcome(number)));
        }
    }
    return texts;
}

void measureFold(int jobCount)
{
    const std::vector<std::string> texts = recordsOf(jobCount);
    JobFold jobs;
    const Clock::time_point begin = Clock::now();
    for (const std::string &text : texts) {
        jobs.apply(jobs.nextOffset(), value(decodeRecord(text)));
    }
    const double foldMs = milliseconds(Clock::now() - begin);

    const Clock::time_point copyBegin = Clock::now();
    const JobFold copy = jobs;
    const double copyMs = milliseconds(Clock::now() - copyBegin);

    SnapshotRecord configuration;
    configuration.throughOffset = jobs.nextOffset();
    const Clock::time_point snapshotBegin = Clock::now();
    std::vector<std::string> snapshot;
    for (const SnapshotRecord &record : makeSnapshot(configuration, copy, "s")) {
        snapshot.push_back(encodeRecord(record));
    }
    const double snapshotMs = milliseconds(Clock::now() - snapshotBegin);

    std::size_t bytes = 0;
    JobFold fresh;
    const Clock::time_point restoreBegin = Clock::now();
    for (const std::string &text : snapshot) {
        bytes += text.size();
        const std::int64_t offset = std::max<std::int64_t>(fresh.nextOffset(), configuration.throughOffset);
        fresh.apply(offset, value(decodeRecord(text)));
    }
    const double restoreMs = milliseconds(Clock::now() - restoreBegin);
    std::printf(
        "%6d jobs  %6zu records  fold %6.2f us/record  snapshot %9zu bytes (%4zu/job) in %3zu records  copy %5.1f ms  write %7.1f ms  restore %7.1f ms  %s\n",
        jobCount,
        texts.size(),
        foldMs * 1000 / static_cast<double>(texts.size()),
        bytes,
        bytes / static_cast<std::size_t>(jobCount),
        snapshot.size(),
        copyMs,
        snapshotMs,
        restoreMs,
        fresh.snapshot() == jobs.snapshot() ? "same" : "DIFFERS");
}

/// Runs the log stand-in on its own thread and counts accepted and refused append requests.
class Service
{
public:
    explicit Service(int appendsPerSecond)
        : standin_(loop_, {10000000, appendsPerSecond})
        , server_(loop_,
              {"127.0.0.1", 0},
              [this](const HttpRequest &request, const HttpResponder &respond) {
                  serve(request, respond);
              })
        , thread_([this] {
            loop_.run();
        })
    {
    }

    ~Service()
    {
        loop_.stop();
        thread_.join();
    }

    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;

    Address address() const
    {
        return server_.address();
    }

    std::atomic<int> accepted {0};
    std::atomic<int> refused {0};

private:
    void serve(const HttpRequest &request, const HttpResponder &respond)
    {
        standin_.handle(request, [this, isAppend = request.method == "POST", respond](const HttpResponse &response) {
            accepted += isAppend && response.status == 200 ? 1 : 0;
            refused += isAppend && response.status != 200 ? 1 : 0;
            respond(response);
        });
    }

    EventLoop loop_;
    standins::LogStandin standin_;
    HttpServer server_;
    std::thread thread_;
};

/// A log client that keeps a fixed number of records outstanding and measures the time from append() until each record is read back.
class Load
{
public:
    Load(const Address &service, int id, int outstanding, Milliseconds batchDelay)
        : id_(id)
        , outstanding_(outstanding)
    {
        LogClientOptions options;
        options.service = service;
        options.batchDelay = batchDelay;
        LogClientEvents events;
        events.record = [this](std::int64_t, const Record &record) {
            receive(record);
        };
        events.caughtUp = [this] {
            begin();
        };
        events.reachability = [](bool) {};
        const std::lock_guard<std::mutex> lock(mutex_); // blocks callbacks until client_ is set
        client_ = std::make_unique<LogClient>(options, events);
    }

    std::vector<double> takeLatencies()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::move(latencies_);
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            isStopped_ = true;
        }
        client_.reset();
    }

private:
    void begin()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (int count = 0; count < outstanding_; ++count) {
            sendNext();
        }
    }

    void sendNext()
    {
        SubmitRecord record = submit(static_cast<int>(sentAt_.size()));
        record.ownerNonce = id_;
        sentAt_.push_back(Clock::now());
        record.spec.declaredRunMs = static_cast<std::int64_t>(sentAt_.size()) - 1;
        client_->append(record);
    }

    void receive(const Record &record)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const SubmitRecord *submitted = std::get_if<SubmitRecord>(&record);
        if (isStopped_ || submitted == nullptr || submitted->ownerNonce != id_) {
            return;
        }
        latencies_.push_back(milliseconds(Clock::now() - sentAt_.at(static_cast<std::size_t>(submitted->spec.declaredRunMs))));
        sendNext();
    }

    const int id_;
    const int outstanding_;
    std::mutex mutex_; ///< guards the members below
    std::vector<Clock::time_point> sentAt_;
    std::vector<double> latencies_;
    bool isStopped_ = false;
    std::unique_ptr<LogClient> client_;
};

void measureClient(int clients, int outstanding, Milliseconds batchDelay, int appendsPerSecond, Milliseconds time)
{
    Service service(appendsPerSecond);
    std::vector<std::unique_ptr<Load>> loads;
    loads.reserve(static_cast<std::size_t>(clients));
    for (int id = 0; id < clients; ++id) {
        loads.push_back(std::make_unique<Load>(service.address(), id, outstanding, batchDelay));
    }
    std::this_thread::sleep_for(time);
    std::vector<double> latencies;
    for (const std::unique_ptr<Load> &load : loads) {
        load->stop();
        const std::vector<double> clientLatencies = load->takeLatencies();
        latencies.insert(latencies.end(), clientLatencies.begin(), clientLatencies.end());
    }
    const double seconds = milliseconds(time) / 1000;
    std::printf("%3d clients x %4d outstanding  delay %2ld ms  %8.0f records/s  %5.0f appends/s  %5.0f refused/s  read back p50 %7.2f ms  p99 %7.2f ms\n",
        clients,
        outstanding,
        static_cast<long>(batchDelay.count()),
        static_cast<double>(latencies.size()) / seconds,
        service.accepted / seconds,
        service.refused / seconds,
        quantile(latencies, 0.5),
        quantile(latencies, 0.99));
}

} // namespace

int main(int argc, char **argv)
{
    int appendsPerSecond = 500;
    int timeMs = 3000;
    const poptOption options[] = {
        {"appends-per-second", 0, POPT_ARG_INT, &appendsPerSecond, 0, "limit of the stand-in", "N"},
        {"time-ms", 0, POPT_ARG_INT, &timeMs, 0, "length of each run of the client", "MS"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("knapweed-logbench", argc, const_cast<const char **>(argv), options, 0), &poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1) {
        poptPrintUsage(context.get(), stderr, 0);
        return 2;
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const int jobs : {1000, 4000, 16000}) {
        measureFold(jobs);
    }
    for (const int clients : {1, 10}) {
        for (const int outstanding : {1, 64}) {
            for (const Milliseconds delay : {Milliseconds(0), Milliseconds(2), Milliseconds(5)}) {
                measureClient(clients, outstanding, delay, appendsPerSecond, Milliseconds(timeMs));
            }
        }
    }
    return 0;
}
