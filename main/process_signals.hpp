#ifndef POMELOHINGE_MAIN_PROCESS_SIGNALS_HPP
#define POMELOHINGE_MAIN_PROCESS_SIGNALS_HPP

namespace pomelohinge {

/// Blocks the signals that control the daemon until `unblock_signals`, so that
/// those that arrive during the start wait for their handlers. Threads that are
/// started later inherit this. A write to a closed pipe or connection becomes
/// an error. Linking this file makes it run before `main`.
void block_signals();

/// Delivers the signals to the calling thread from now on. Their handlers must
/// be in place.
void unblock_signals();

/// Whether a signal that asks for a stop has arrived while it was blocked.
bool is_stop_pending();

} // namespace pomelohinge

#endif
