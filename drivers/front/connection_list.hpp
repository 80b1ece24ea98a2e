#ifndef POMELOHINGE_DRIVERS_FRONT_CONNECTION_LIST_HPP
#define POMELOHINGE_DRIVERS_FRONT_CONNECTION_LIST_HPP

#include <asio/execution_context.hpp>
#include <cstddef>
#include <list>

namespace pomelohinge {

class connection_state;

/// The callers' connections of one I/O context, the least recently active ones
/// first.
class connection_list : public asio::execution_context::service
{
public:
    using key_type = connection_list;
    using position = std::list<connection_state*>::iterator;

    static inline asio::execution_context::id id;

    explicit connection_list(asio::execution_context& context)
        : service(context)
    {
    }

    std::size_t size() const { return connections_.size(); }

    position add(connection_state& it)
    {
        return connections_.insert(connections_.end(), &it);
    }
    void remove(position at) { connections_.erase(at); }

    /// The connection that was active least recently.
    connection_state& front() const { return *connections_.front(); }

    /// Makes a connection the most recently active one.
    void move_to_end(position at)
    {
        connections_.splice(connections_.end(), connections_, at);
    }

private:
    void shutdown() override {}

    std::list<connection_state*> connections_;
};

} // namespace pomelohinge

#endif
