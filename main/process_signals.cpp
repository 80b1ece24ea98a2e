#include "main/process_signals.hpp"

#include "main/standard_streams.hpp"

#include <csignal>
#include <initializer_list>

namespace pomelohinge {
namespace {

sigset_t daemon_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (int const it : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, it);
    return signals;
}

void prepare_process()
{
    block_signals();
    open_standard_streams();
}

} // namespace

void block_signals()
{
    auto const signals = daemon_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Runs before the initialisers of shared libraries, which take most of the
/// start and open descriptors.
[[gnu::section(".preinit_array"),
    gnu::used]] void (*const prepare_at_start)() = &prepare_process;

void unblock_signals()
{
    auto const signals = daemon_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool is_stop_pending()
{
    sigset_t pending;
    if (sigpending(&pending) != 0)
        return false;
    return sigismember(&pending, SIGTERM) == 1 ||
        sigismember(&pending, SIGINT) == 1;
}

} // namespace pomelohinge
