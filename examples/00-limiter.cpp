// Keeps an upstream from being overloaded: a concurrency limit that follows latency, and a budget for
// retries.
#include <jacinthvale/limiter.h>

#include <iostream>

using namespace jacinthvale;

namespace {

constexpr double kRetryShare = 0.1;

/// An upstream that serves 8 requests at a time in 20 ms each; more of them queue up inside it.
milliseconds latencyAt(int inFlight)
{
    constexpr int kSlots = 8;
    constexpr milliseconds kServiceTime{20};
    return kServiceTime * ((inFlight + kSlots - 1) / kSlots);
}

} // namespace

int main()
{
    concurrency_limiter limiter;
    retry_budget budget;
    for (int round = 0; round < 200; ++round) {
        while (limiter.hasCapacity()) {
            limiter.acquire();
            budget.recordFirstAttempt(kRetryShare);
        }
        limiter.recordLatency(latencyAt(limiter.inFlight()));
        while (limiter.inFlight() > 0) {
            limiter.release();
        }
    }
    std::cout << "limit after 200 rounds: " << limiter.limit() << " requests at a time\n"
              << "a retry is allowed: " << std::boolalpha << budget.tryRetry() << "\n";
    return 0;
}
